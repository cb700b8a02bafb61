import unittest
from pathlib import Path

from medlargate._settings import SettingsError, check_model, check_settings
from medlargate.fleet import Config, SeedFile, check_operations

from ..guide import STEPS, run_guide

ROOT = Path(__file__).resolve().parents[4]


class GuideTest(unittest.TestCase):
    def test_every_step_ends_as_the_guide_says(self):
        results = run_guide()
        self.assertEqual([result.step.text for result in results if not result.ok], [])
        self.assertEqual(len(results), len(STEPS))

    def test_the_page_shows_every_command(self):
        page = (ROOT / "docs" / "guide.md").read_text()
        for step in STEPS:
            self.assertIn(step.statement or "curl", page)


class ExamplesTest(unittest.TestCase):
    def test_node_settings_have_no_faults(self):
        paths = list((ROOT / "examples").glob("*-node.yaml"))
        self.assertEqual(len(paths), 2)
        for path in paths:
            check_settings(path.read_text(), file=path.name)

    def test_configurations_have_no_faults(self):
        paths = list((ROOT / "examples").glob("*-config.yaml"))
        self.assertEqual(len(paths), 2)
        for path in paths:
            seed = check_model(path.read_text(), path.name, SeedFile)
            check_operations(Config(), seed.make_operations())


class SettingsTest(unittest.TestCase):
    def test_all_faults_are_named_at_once_with_their_lines(self):
        text = (ROOT / "examples" / "agency-node.yaml").read_text()
        text = text.replace("port: 8080", "port: 99999").replace("10.0.0.5", "nowhere")
        with self.assertRaises(SettingsError) as caught:
            check_settings(text, file="node.yaml")
        faults = {fault.field: fault for fault in caught.exception.faults}
        self.assertEqual(set(faults), {"node.port", "platform.address"})
        line = text.splitlines()[faults["node.port"].line - 1]
        self.assertIn("99999", line)
        self.assertIn("65535", faults["node.port"].message)
        self.assertIn("99999", faults["node.port"].message)

    def test_text_that_is_not_yaml(self):
        with self.assertRaises(SettingsError) as caught:
            check_settings("node: [")
        self.assertIn("not YAML", str(caught.exception))
