//! The rule suite over every wire: the same bodies, the real program, sockets on loopback.

use laurelroute_testkit::wire::Wire;

laurelroute_testkit::rule_suite! { env!("CARGO_BIN_EXE_laurelroute");
    http: super::Wire::Http;
    framed_binary: super::Wire::thrift("framed-binary");
    framed_compact: super::Wire::thrift("framed-compact");
    unframed_binary: super::Wire::thrift("unframed-binary");
    unframed_compact: super::Wire::thrift("unframed-compact");
    theader: super::Wire::thrift("header-binary");
    compact_to_binary: super::Wire::mixed("header-compact", "framed-binary");
}
