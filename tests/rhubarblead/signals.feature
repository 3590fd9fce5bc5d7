Feature: Processes stop when they are asked to

  # A planned stop was ignored when another thread had received the signal.
  Scenario: A signal is handled though another thread has received it
    When a process waits for SIGTERM, and another of its threads receives it
    Then the process ends within 2 s of the signal
