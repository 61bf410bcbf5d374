//! `poplarvale dump`: prints tables of a daemon's process.

use super::print;
use crate::client::Client;
use crate::failure::Failure;

pub(super) async fn run(
    client: &Client,
    table: Option<&str>,
    id: Option<&str>,
) -> Result<(), Failure> {
    let mut path = "/dump".to_owned();
    for part in [table, id].into_iter().flatten() {
        path.push('/');
        path.push_str(part);
    }
    print(&client.get(&path).await?);
    Ok(())
}
