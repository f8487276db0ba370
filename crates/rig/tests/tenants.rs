//! What a tenant in the settings costs a node in memory, counted in allocated bytes.

use laurelroute_core::gateway::Gateway;
use laurelroute_node::config::Config;
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::path::PathBuf;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn held() -> f64 {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated as f64 - stats.bytes_deallocated as f64
}

/// A configuration with so many tenants, whose names are 13 bytes long.
fn configuration(tenants: usize) -> PathBuf {
    let tenants: Vec<_> = (0..tenants)
        .map(|k| serde_json::json!({"name": format!("tenant-{k:06}"), "quotaPerS": 1.5 + k as f64 / 64.0}))
        .collect();
    let count = tenants.len();
    let file = serde_json::json!({
        "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "limits": {"memory_mb": 48, "sockets": 256},
        "settings": {
            "classes": [{"name": "read", "aimNs": 1_000_000, "giveUpNs": 2_000_000, "worth": 1.0, "effect": "pure"}],
            "tenants": tenants, "zone": 0, "zones": ["a"], "ordinal": 0, "groupSize": 1, "registryMode": "automatic",
            "caps": {"maxAttempts": 3, "secondCopies": false, "cancelling": true, "mayProbe": false,
                "peers": false, "connIdleNs": 1_000_000, "connectTimeoutNs": 1_000_000},
            "guarantees": {"coldFrom": 0.5, "rampTimeNs": 1_000_000, "tipMultiple": 3.0, "fallNs": 1_000_000},
        },
    });
    let path = std::env::temp_dir().join(format!("laurelroute-tenants-{}-{count}.json", std::process::id()));
    std::fs::write(&path, file.to_string()).expect("a file of the test's own");
    path
}

/// Bytes that a configuration of so many tenants holds, with a gateway that goes by it, and allocations of its reading.
fn costs(tenants: usize) -> [f64; 3] {
    let path = configuration(tenants);
    let (before, allocations) = (held(), ALLOCATOR.stats().allocations);
    let config = Config::read(&path).expect("a sound configuration");
    let (read, allocations) = (held(), ALLOCATOR.stats().allocations - allocations);
    std::fs::remove_file(&path).expect("the same file");
    assert_eq!(config.gateway.settings.tenant_quota.len(), tenants);
    assert_eq!(config.gateway.tenant_index(Some(b"tenant-000777")), 777);
    let (list_requests, _calls) = tokio::sync::mpsc::unbounded_channel();
    let gateway = Gateway::new(config.gateway.clone(), list_requests).expect("sound settings");
    let costs = [read - before, held() - before, allocations as f64];
    assert_eq!(gateway.config.tenant_index(Some(b"tenant-000777")), 777);
    costs
}

#[test]
fn a_tenant_holds_few_bytes() {
    let (few, many) = (1_000, 100_000);
    let [small, large] = [few, many].map(costs);
    let each = [0, 1, 2].map(|k| (large[k] - small[k]) / (many - few) as f64);
    println!(
        "bytes a tenant: {:.1} read, {:.1} in use; {:.1} allocations to read one",
        each[0], each[1], each[2]
    );
    // A name of 13 bytes and its end, two to four places of the table by hash, a share; in use also its rate and two more
    // copies of the share.
    assert!(each[0] <= 50.0 && each[1] <= 100.0, "bytes a tenant: {each:?}");
}
