"""plumpick: an HTTP request gateway. plumpick.policy makes the decisions, plumpick.gateway does the I/O."""

import os

# Keeps libuv from using io_uring; must be set before uvloop is loaded. The kernel thread that polls the ring
# (iou-sqp) was seen to use the gateway's whole share of a core for seconds on end.
os.environ["UV_USE_IO_URING"] = "0"
