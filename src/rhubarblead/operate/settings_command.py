"""Checks of settings files."""

import json
import pathlib

from rhubarblead import faults
from rhubarblead import settings
from rhubarblead.operate import outcome


class SettingsCommand:
    """Checks a settings file, or prints the schema of one."""

    def check(self, file: str) -> outcome.Outcome:
        """Checks a settings file and names every fault.

        Args:
            file: Path of the JSON file.
        """
        try:
            found = settings.read_settings(pathlib.Path(str(file)))
        except faults.CannotAccept as error:
            return outcome.reject_input(str(error))
        return outcome.Outcome(text=f"{file} is valid for {found.instance}")

    def schema(self) -> outcome.Outcome:
        """Prints the JSON schema of the settings."""
        schema = settings.Settings.model_json_schema()
        return outcome.Outcome(text=json.dumps(schema, indent=2))
