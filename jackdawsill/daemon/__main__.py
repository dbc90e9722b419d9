"""Run `python -m jackdawsill.daemon` as `jackdawsilld`."""

import sys

from jackdawsill.daemon import main

sys.exit(main())
