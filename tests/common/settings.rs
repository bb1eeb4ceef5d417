//! The settings file of a small deployment, shared by the tests.

/// A single node `a` and a single team `t`. Tests replace the values that they depend on.
pub const SETTINGS: &str = r#"
node_name = "a"
zone = "e"
client_listen = "127.0.0.1:8080"
back = "127.0.0.1:8081"
[services]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[params]
initial_size = 1
zones = ["e", "w"]
time_bound_ms = 10.0
[[params.teams]]
name = "t"
cpus_max = 400.0
[params.workers]
report_s = 3.0
lease_s = 20.0
cancel_s = 40.0
[params.state]
rps = 60.0
write_rps = 20.0
value_kb = 8.0
txn_ops = 12
[params.cloud]
rps = 4.0
list_lag_s = 6.0
[params.machine_limits]
core_share = 0.2
ram_mb = 128.0
max_connections = 100
"#;
