//! A configuration of a scheduler at the site athens-forecast. Where the site gives a range, a value inside it.
use std::net::SocketAddr;

/// What a scheduler is told.
pub struct Site<'a> {
    pub name: &'a str,
    pub listen: SocketAddr,
    pub coordinator: SocketAddr,
    /// The coordinator's events so far.
    pub known: &'a str,
    pub schedulers: u32,
    pub memory_mb: u32,
    pub sockets: u32,
}

/// The configuration as JSON.
pub fn config(site: &Site) -> String {
    let Site {
        name,
        listen,
        coordinator,
        known,
        schedulers,
        memory_mb,
        sockets,
    } = site;
    format!(
        r#"{{"name":"{name}","listen":"{listen}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
"coordinator":"{coordinator}","known":{known},
"settings":{{
"allowed":{{"cancel":true,"connect-timeout-ns":250000000,"cpu-us-per-request":0.0,"cpu-us-per-s":500000,
 "keepalive-ns":15000000000,"max-attempts":6,"max-open":20000,"max-retry-after-ns":2000000000,"may-probe":false,
 "peers":false,"retry-after":true,"second-copies":false,"streams-per-conn":32}},
"classes":[
 {{"deadline-ns":4000000000,"effect":"retryable","importance":1.0,"key-scope":"all","late-worth":0.3,"name":"point-forecast","on-time-ns":600000000,"stream":false,"window-ns":0}},
 {{"deadline-ns":5000000000,"effect":"retryable","importance":2.0,"key-scope":"all","late-worth":0.3,"name":"area-map","on-time-ns":1500000000,"stream":false,"window-ns":0}},
 {{"deadline-ns":5000000000,"effect":"fragile","importance":5.0,"key-scope":"all","late-worth":0.3,"name":"advisory-send","on-time-ns":300000000,"stream":false,"window-ns":0}}],
"clients":{{"marks-retry":false}},
"family-info":{{"idle-memory-cost":0.15,"load-free":0.0,"load-period-ns":0,"load-share":0.0,"may-order":false,
 "memory-mb-by-kind":[60000.0],"on-miss":"load","order-timeout-ns":10000000000,
 "report-x0":"share of memory that is at work or loading","report-x1":"loads under way or waiting",
 "stays-loaded-ns":12000000000,"tells-crowd":false,"tells-warm":false}},
"fees":{{"connection":0.0,"cross-zone":0.0,"handshake":0.0,"late-fail":0.05,"moves":0.0,"origin":0.065,"peer":0.0,"probe":0.0,"registry-mode":0.0,"waste":0.05}},
"goal":{{"whole":0.5,"worst-class":0.2,"worst-tenant":0.0,"worst-window":0.3}},
"me":0,"over-share-worth":1.0,"registry-mode":"push","replicas-of-me":{schedulers},"resolution-ns":2000000,
"safety":{{"answer-slack-ns":8000000,"ask-within-ns":10000000000,"cold-from":0.25,"cold-ns":12000000000,
 "drain-grace-ns":2000000000,"fall-multiple":3.0,"fall-ns":1500000000}},
"skus":["std-3core"],"stats":{{"fields":["q","x0","x1"],"source":"piggyback"}},"tenants":[],"tier":0,
"tiers":["runner-fleet"],"weight-kind":"rough","workload":"warm","worth-by":"request","zone":0,
"zones":["athens-room"]}}}}"#
    )
}
