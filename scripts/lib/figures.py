"""Computes percentiles and slopes and draws plots as SVG."""

import html
import math


def percentile(values, share):
    """Returns the nearest-rank percentile: the smallest value that at least a share (0 to 1) of all values do not exceed."""
    if not values:
        raise ValueError("percentile of an empty list")
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def slope(points):
    """Fits a least-squares line through (x, y) points and returns (slope, intercept)."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if spread == 0:
        raise ValueError("a slope needs two different x values")
    result = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return result, mean_y - result * mean_x


def table(headers, rows):
    """Returns a Markdown table."""
    lines = [headers, ["---"] * len(headers), *rows]
    return "\n".join("| " + " | ".join(str(cell) for cell in line) + " |" for line in lines) + "\n"


COLOURS = ["#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#b7791f", "#444444"]
WIDTH, HEIGHT, MARGIN = 640, 360, 56


def line_chart(title, x_label, y_label, series):
    """Returns a line chart as SVG. series maps names to lists of (x, y); both axes start at zero."""
    points = [point for line in series.values() for point in line]
    if not points:
        raise ValueError("chart without points")
    max_x = max(x for x, _ in points) or 1
    max_y = max(y for _, y in points) or 1

    def to_pixels(x, y):
        return MARGIN + x / max_x * (WIDTH - 2 * MARGIN), HEIGHT - MARGIN - y / max_y * (HEIGHT - 2 * MARGIN)

    def text(x, y, content, anchor="middle", colour="#222"):
        return f'<text x="{x:.1f}" y="{y:.1f}" text-anchor="{anchor}" fill="{colour}">{html.escape(content)}</text>'

    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {WIDTH} {HEIGHT}" font-family="sans-serif" font-size="11">',
        f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>', text(WIDTH / 2, 18, title),
        text(WIDTH / 2, HEIGHT - 12, x_label), text(MARGIN, 36, y_label, "start")]
    for step in range(5):
        x, y = to_pixels(max_x * step / 4, max_y * step / 4)
        parts.append(f'<line x1="{MARGIN}" y1="{y:.1f}" x2="{WIDTH - MARGIN}" y2="{y:.1f}" stroke="#ddd"/>')
        parts.append(text(MARGIN - 6, y + 4, f"{max_y * step / 4:.4g}", "end"))
        parts.append(text(x, HEIGHT - MARGIN + 16, f"{max_x * step / 4:.4g}"))
    for index, (name, line) in enumerate(series.items()):
        colour = COLOURS[index % len(COLOURS)]
        path = " ".join(f"{x:.1f},{y:.1f}" for x, y in (to_pixels(*point) for point in line))
        parts.append(f'<polyline points="{path}" fill="none" stroke="{colour}" stroke-width="1.8"/>')
        parts.append(text(WIDTH - MARGIN, 36 + 14 * index, name, "end", colour))
    return "\n".join(parts) + "\n</svg>\n"
