"""Commands that validate settings files and print their schema."""

import json
import pathlib

from rhubarblead import faults
from rhubarblead import settings
from rhubarblead.operate import outcome


class SettingsCommand:
    """Validates a settings file or prints the schema of the settings."""

    def check(self, file: str) -> outcome.Outcome:
        """Validates a settings file and lists every fault.

        Args:
            file: Path of the settings file in JSON.
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
