import pathlib
import sys
import tempfile
import unittest
import xml.etree.ElementTree

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts" / "lib"))
import figures
import records


class Percentiles(unittest.TestCase):
    def test_nearest_rank(self):
        """Guards against interpolation and off-by-one ranks, which hide the worst value of a small sample."""
        values = list(range(20, 0, -1))
        self.assertEqual([figures.percentile(values, share) for share in (0, 0.5, 0.95, 0.951, 0.99, 1)], [1, 10, 19, 20, 20, 20])
        self.assertEqual(figures.percentile([7], 0.5), 7)

    def test_no_values(self):
        """Guards against reporting a percentile for a phase without answered requests."""
        self.assertRaises(ValueError, figures.percentile, [], 0.5)


class Slopes(unittest.TestCase):
    def test_line_and_scatter(self):
        """Guards against a fixed cost that changes the slope."""
        self.assertEqual(figures.slope([(1, 5), (2, 7), (4, 11)]), (2, 3))
        gradient, intercept = figures.slope([(0, 0), (1, 2), (2, 1)])
        self.assertAlmostEqual(gradient, 0.5)
        self.assertAlmostEqual(intercept, 0.5)

    def test_one_size(self):
        """Guards against computing a slope from a single size."""
        self.assertRaises(ValueError, figures.slope, [(3, 1), (3, 2)])


class Charts(unittest.TestCase):
    def test_well_formed_and_inside(self):
        """Guards against names that break the XML and points drawn outside the image."""
        root = xml.etree.ElementTree.fromstring(figures.line_chart("a < b & c", "x", "y", {"<one>": [(0, 0), (10, 5)], "two": [(5, 20)]}))
        lines = root.findall("{http://www.w3.org/2000/svg}polyline")
        self.assertEqual(len(lines), 2)
        for line in lines:
            for point in line.get("points").split():
                x, y = (float(part) for part in point.split(","))
                self.assertTrue(0 <= x <= figures.WIDTH and 0 <= y <= figures.HEIGHT)
        self.assertEqual(lines[0].get("points").split()[0], f"{figures.MARGIN:.1f},{figures.HEIGHT - figures.MARGIN:.1f}")
        self.assertRaises(ValueError, figures.line_chart, "", "", "", {"empty": []})

    def test_table(self):
        """Guards against rows with more or fewer cells than the header."""
        self.assertEqual(figures.table(["a", "b"], [[1, "x"]]), "| a | b |\n| --- | --- |\n| 1 | x |\n")


class Takeover(unittest.TestCase):
    def test_slots_of_the_victim(self):
        """Guards against counting runs before the fault or by the victim as takeovers, and against dropping slots that no
        upstream took over."""
        run = records.Run
        ms = 1_000_000
        runs = {
            "a": [run(1 * ms, 0, 1, 7), run(2 * ms, 1, 1, 7), run(2 * ms, 2, 1, 7), run(11 * ms, 0, 1, 7)],
            "b": [run(3 * ms, 2, 2, 8), run(30 * ms, 0, 3, 8), run(25 * ms, 0, 3, 8), run(1 * ms, 1, 0, 8), run(200 * ms, 1, 4, 8)],
        }
        self.assertEqual(records.owned_partitions(runs, "a", 10 * ms), {0, 1})
        self.assertEqual(records.largest_owner(runs, 10 * ms), "a")
        self.assertEqual(records.takeover_ms(runs, "a", 10 * ms, 100 * ms), {0: 15.0, 1: None})

    def test_unfinished_line(self):
        """Guards against reading the incomplete last line of a killed process as a record."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "a.record"
            path.write_text("own 1 2 s 0 1 7\nrun 5 id s 3 4 7 no k\nrun 6 id2 s 3")
            self.assertEqual(records.read_runs(path), [records.Run(5, 3, 4, 7)])
            path.write_text("req 1000000 3000000 id s no answered 0 k\nreq 1 2 id2 s no not-run 9 k\n")
            self.assertEqual(records.latencies_ms(records.read_requests(path)), [2.0])
            self.assertEqual(records.read_requests(pathlib.Path(folder) / "none"), [])


if __name__ == "__main__":
    unittest.main()
