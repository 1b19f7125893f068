//! Sans-I/O decisions of the woodladder load balancer.
