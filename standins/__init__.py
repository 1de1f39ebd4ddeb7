"""Stand-ins for the platform and the endpoints; used by tests, never shipped."""

import warnings

warnings.filterwarnings("ignore", message="\\s*Eventlet is deprecated")
