"""A node of hingesill: I/O, event loop and life cycle around `hingesill_core`."""

import warnings

# docs/design/eventlet.md discusses the deprecation of eventlet; the warning would only
# repeat it at each start.
warnings.filterwarnings("ignore", message="\\s*Eventlet is deprecated")
