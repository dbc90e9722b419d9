"""Run `jackdawsillctl` as `python -m jackdawsill.cli`."""

import sys

from jackdawsill.cli import main

sys.exit(main())
