"""A node of hingesill: the shell that runs the decisions over real sockets."""

import warnings

# The risk of eventlet's deprecation is weighed in docs/design/eventlet.md; the
# warning would only repeat it at each start.
warnings.filterwarnings("ignore", message="\\s*Eventlet is deprecated")
