"""Developer tools of this repository; not installed with the package."""
