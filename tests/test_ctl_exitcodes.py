"""Tests of the exit codes that scripts depend on."""

from testtools import TestCase
from toucanctl.exitcodes import EXIT_CODE_MEANINGS, ExitCode, exit_code_of
from toucanspindle_core import errorcodes
from toucanspindle_core.configparts import ConfigPartError
from toucanspindle_core.errors import (
    ConflictError,
    ControlError,
    PlatformError,
    PlatformUncertainError,
    SettingsError,
    ToucanError,
)


class ExitCodeTests(TestCase):
    """The exit code of each kind of error, and the fixed values of the exit codes."""

    def test_each_kind_of_error_has_its_exit_code(self) -> None:
        cases: list[tuple[type[ToucanError], errorcodes.ErrorCode, ExitCode]] = [
            (SettingsError, errorcodes.CONFIG_INVALID, ExitCode.REFUSED),
            (SettingsError, errorcodes.PLATFORM_GENERATION_OUTDATED, ExitCode.REFUSED),
            (ConfigPartError, errorcodes.CONFIG_PART_MISSING, ExitCode.REFUSED),
            (PlatformUncertainError, errorcodes.CHANGE_UNCERTAIN, ExitCode.OUTCOME_UNKNOWN),
            (ConflictError, errorcodes.CONFIG_CONFLICT, ExitCode.CONFLICT),
            (PlatformError, errorcodes.PLATFORM_UNREACHABLE, ExitCode.UNREACHABLE),
            (PlatformUncertainError, errorcodes.PLATFORM_UNREACHABLE, ExitCode.UNREACHABLE),
            (ControlError, errorcodes.AGENT_UNREACHABLE, ExitCode.UNREACHABLE),
            (ControlError, errorcodes.ROLLOUT_INCOMPLETE, ExitCode.ROLLOUT_INCOMPLETE),
        ]
        for kind, code, expected in cases:
            self.assertEqual(expected, exit_code_of(kind(code, "text", "remedy")))

    def test_values_never_change(self) -> None:
        self.assertEqual([0, 1, 2, 3, 4, 5, 6, 130], [int(code) for code in ExitCode])
        self.assertEqual(set(ExitCode), set(EXIT_CODE_MEANINGS))
