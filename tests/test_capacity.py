"""The capacity page shows what the script works out of the measurements."""

from benches import capacity
from standins import fleet as fleets


def test_the_page_has_the_tables_of_the_script():
    page = (fleets.ROOT / "docs" / "CAPACITY.md").read_text()
    assert capacity.render(capacity.Slopes()) in page
