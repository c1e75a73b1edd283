"""Tests that the generated pages docs/errors.md and docs/settings.md match the code."""

from pathlib import Path

from testtools import TestCase
from toucanctl.errorsdoc import errors_page
from toucanctl.settingsdoc import settings_page
from toucanspindle_core.errorcodes import all_codes
from toucanspindle_core.fleetconfig import ServiceSettings, ServiceSettingsPatch

DOCS = Path(__file__).parent.parent / "docs"


class GeneratedPageTests(TestCase):
    """The pages equal the generators' output and cover every code and setting."""

    def test_settings_page_is_current(self) -> None:
        page = (DOCS / "settings.md").read_text(encoding="utf-8")
        message = "run: python -m toucanctl.settingsdoc > docs/settings.md"
        self.assertEqual(settings_page(), page, message)

    def test_errors_page_is_current(self) -> None:
        page = (DOCS / "errors.md").read_text(encoding="utf-8")
        message = "run: python -m toucanctl.errorsdoc > docs/errors.md"
        self.assertEqual(errors_page(), page, message)

    def test_every_code_is_on_the_page(self) -> None:
        missing = [code.name for code in all_codes() if f"| {code.name} |" not in errors_page()]
        self.assertEqual([], missing)

    def test_every_setting_is_described(self) -> None:
        empty = [line for line in settings_page().splitlines() if line.endswith("|  |")]
        self.assertEqual([], empty)


class PatchTests(TestCase):
    """The settings that an exception can change."""

    def test_exception_may_change_each_setting_within_the_same_limits(self) -> None:
        settings = ServiceSettings.model_json_schema()["properties"]
        patch = ServiceSettingsPatch.model_json_schema()["properties"]
        self.assertEqual(list(settings), list(patch))
        for name, schema in settings.items():
            limits = {
                k: v for k, v in schema.items() if k not in {"default", "description", "title"}
            }
            self.assertEqual(limits, patch[name]["anyOf"][0])
