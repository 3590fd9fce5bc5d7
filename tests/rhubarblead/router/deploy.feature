Feature: The deployed build contains what the daemon needs

  Scenario: The daemon imports only libraries that its build installs
    Then every library that the daemon imports is listed in the deploy requirements

  Scenario: The deploy requirements match those of the project
    Then every deploy requirement is pinned to the version that the project uses

  Scenario: Names of the platform's protocol are confined to the adapter
    Then no name of the platform's protocol occurs outside the adapter
