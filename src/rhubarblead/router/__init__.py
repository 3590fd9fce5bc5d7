"""Router daemon that runs beside one server on the users' platform."""
