//! How requests name their services.

use hyper::header::HeaderName;
use hyper::http::request::Parts;
use hyper::Request;
use laurelroute_http::service::{NameError, ServiceNameSource};

fn head(target: &str, headers: &[(&str, &str)]) -> Parts {
    let mut request = Request::builder().uri(target);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(()).unwrap().into_parts().0
}

#[test]
fn the_host_names_a_service_without_its_port_and_in_lower_case() {
    let service = |host: &str| ServiceNameSource::Host.service_name(&head("/read", &[("host", host)]));
    for (host, name) in [
        ("shop", "shop"),
        ("Shop.SVC:8080", "shop.svc"),
        ("shop:", "shop"),
        ("[::1]:80", "[::1]"),
        ("[::1]", "[::1]"),
        (" shop ", "shop"),
    ] {
        assert_eq!(service(host).as_deref(), Ok(name), "{host}");
    }
    let longest = "x".repeat(256);
    assert_eq!(service(&longest), Ok(longest.clone()));
    assert_eq!(service(&format!("{longest}:80")), Ok(longest.clone()));
    assert_eq!(service(&format!("{longest}x")), Err(NameError::Invalid));
    for invalid in ["", ":80", "a@b", "a/b"] {
        assert_eq!(service(invalid), Err(NameError::Host), "{invalid}");
    }
    assert_eq!(service("a b"), Err(NameError::Invalid));
    let two_hosts = head("/read", &[("host", "a"), ("host", "b")]);
    assert_eq!(ServiceNameSource::Host.service_name(&two_hosts), Err(NameError::Host));
    assert_eq!(ServiceNameSource::Host.service_name(&head("/read", &[])), Err(NameError::Host));
    // The host of an absolute target takes precedence over the header.
    let target = head("http://Other.svc:80/read", &[("host", "shop")]);
    assert_eq!(ServiceNameSource::Host.service_name(&target).as_deref(), Ok("other.svc"));
}

#[test]
fn a_header_names_a_service_unchanged() {
    let source = ServiceNameSource::Header(HeaderName::from_static("x-service"));
    let service = |values: &[&str]| {
        let headers: Vec<_> = values.iter().map(|v| ("x-service", *v)).collect();
        source.service_name(&head("/read", &headers))
    };
    assert_eq!(service(&["Shop:8080"]).as_deref(), Ok("Shop:8080"));
    assert_eq!(service(&[]).as_deref(), Ok(""), "the unnamed service");
    assert_eq!(service(&["a", "b"]), Err(NameError::Multiple));
    assert_eq!(service(&[""]), Err(NameError::Invalid));
    assert_eq!(service(&["a b"]), Err(NameError::Invalid));
    assert_eq!(service(&["x".repeat(257).as_str()]), Err(NameError::Invalid));
}

#[test]
fn without_a_name_source_all_requests_are_for_the_unnamed_service() {
    assert_eq!(
        ServiceNameSource::Unnamed.service_name(&head("/read", &[("host", "shop")])).as_deref(),
        Ok("")
    );
}
