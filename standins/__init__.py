"""Test doubles of the platform and the endpoints; not part of a release."""

import warnings

warnings.filterwarnings("ignore", message="\\s*Eventlet is deprecated")
