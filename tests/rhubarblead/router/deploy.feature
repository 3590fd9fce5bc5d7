Feature: What the deploy file builds is what the daemon needs

  Scenario: The daemon imports only libraries that its build installs
    Then every library that the daemon imports is in the deploy requirements

  Scenario: The deploy requirements are those of the project
    Then every deploy requirement is one of the project's, in the same version

  Scenario: The platform's names stay in the adapter
    Then no name of the wire stands outside the adapter
