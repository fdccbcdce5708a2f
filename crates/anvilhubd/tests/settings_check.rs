//! Guards against an instance that starts with unusable settings.

use anvilhub_coord::border::settings::SettingsDocument;
use anvilhubd::{DaemonSettings, SettingsError};

fn build_document() -> SettingsDocument {
    SettingsDocument {
        instance: Some("entry-1".to_owned()),
        failure_domain: Some("fd-a".to_owned()),
        caller_address: Some("127.0.0.1:7101".to_owned()),
        peer_address: Some("127.0.0.1:7201".to_owned()),
        operator_address: Some("127.0.0.1:7301".to_owned()),
        platform_address: Some("127.0.0.1:7000".to_owned()),
        ..SettingsDocument::default()
    }
}

fn expect_error(document: &SettingsDocument) -> SettingsError {
    DaemonSettings::from_document(document).expect_err("the settings are unusable")
}

#[test]
fn minimal_settings_valid() {
    DaemonSettings::from_document(&build_document()).expect("the settings are usable");
}

#[test]
fn host_name_refused() {
    let document = SettingsDocument {
        caller_address: Some("localhost:7101".to_owned()),
        ..build_document()
    };

    insta::assert_snapshot!(
        expect_error(&document),
        @"setting `caller_address` is `localhost:7101`; expected an IP address and a port"
    );
}

#[test]
fn missing_field_explained() {
    let document = SettingsDocument {
        instance: None,
        ..build_document()
    };

    insta::assert_snapshot!(
        expect_error(&document),
        @r#"setting `instance` is missing; add it, for example "instance": "entry-1""#
    );
}

#[test]
fn zero_size_refused() {
    let document = SettingsDocument {
        max_body_bytes: Some(0),
        ..build_document()
    };

    insta::assert_snapshot!(
        expect_error(&document),
        @"setting `max_body_bytes` is `0`; expected a number from 1024 to 67108864"
    );
}

#[test]
fn shared_address_refused() {
    let document = SettingsDocument {
        operator_address: Some("127.0.0.1:7101".to_owned()),
        ..build_document()
    };

    insta::assert_snapshot!(
        expect_error(&document),
        @"settings `caller_address` and `operator_address` are both 127.0.0.1:7101; give each its own port"
    );
}

#[test]
fn unknown_field_refused() {
    let parsed: Result<SettingsDocument, _> = serde_json::from_str(r#"{"instnce": "entry-1"}"#);

    assert!(
        parsed
            .expect_err("the field is unknown")
            .to_string()
            .contains("instnce")
    );
}
