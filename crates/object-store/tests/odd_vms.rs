//! One entry of the list of VMs that cannot be decoded does not hide the others.

use async_std::task;
use ibissail_object_store::{HttpPlatformClient, ObjectApi, VmList};
use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
    time::Duration,
};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Reads a list with these entries from a platform that answers one request.
fn read_list(entries: &[String]) -> VmList {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
    let address = listener.local_addr().expect("an address");
    let body = format!("[{}]", entries.join(","));
    let server = thread::spawn(move || {
        let (mut stream, _from) = listener.accept().expect("a connection");
        let _request = stream.read(&mut [0; 4096]).expect("a request");
        let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n";
        let response = format!("{head}content-length: {}\r\n\r\n{body}", body.len());
        stream.write_all(response.as_bytes()).expect("the client reads");
    });
    let client = HttpPlatformClient::new(address, TIMEOUT);
    let list = task::block_on(client.list_vms()).expect("a list");
    server.join().expect("the platform answers");
    list
}

fn vm(name: &str, address: &str) -> String {
    format!(
        "{{\"vm\":\"{name}\",\"zone\":\"az-1\",\"role\":\"entry\",\"address\":\"{address}\",\
         \"state\":\"live\"}}"
    )
}

#[test]
fn odd_entries_are_left_out() {
    let odd = [
        vm("odd", "127.0.0.1:70000"),
        "1e400".to_owned(),
        "{}".to_owned(),
        format!("{}1{}", "[".repeat(200_000), "]".repeat(200_000)),
        vm("odd", "127.0.0.1:80").replacen('{', "{\"role\":1e400,", 1),
    ];
    for odd in &odd {
        let list = read_list(&[vm("a", "127.0.0.1:1"), odd.clone(), vm("z", "127.0.0.1:2")]);
        let names: Vec<&str> = list.vms.iter().map(|vm| vm.vm.as_str()).collect();
        assert_eq!(names, ["a", "z"]);
        assert_eq!(list.unreadable.len(), 1, "{:?}", list.unreadable);
    }
}
