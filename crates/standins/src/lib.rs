//! Stand-ins for the platform and the endpoints, and the load and experiment tool.
