//! Statements of a group over a PostgreSQL client.

mod common;

use bergamotvale_standin::group::{Group, Options};
use common::{connect, schema};
use tokio_postgres::types::Type;

#[tokio::test]
async fn primary_takes_writes_and_reads() {
    let group = Group::start(Options { schema: schema(), ..Options::default() }).unwrap();
    let client = connect(group.addresses()[0]).await;

    let written = client
        .execute_typed(
            "INSERT INTO bolts (id, colour, metres) VALUES ($1, $2, $3)",
            &[(&7_i64, Type::INT8), (&"indigo", Type::TEXT), (&2.5_f64, Type::FLOAT8)],
        )
        .await
        .unwrap();
    let rows = client
        .query_typed(
            "SELECT id, colour, metres, shipped FROM bolts WHERE id = $1",
            &[(&7_i64, Type::INT8)],
        )
        .await
        .unwrap();

    assert_eq!(written, 1);
    assert_eq!(rows.len(), 1);
    assert_eq!(rows[0].get::<_, i64>("id"), 7);
    assert_eq!(rows[0].get::<_, &str>("colour"), "indigo");
    assert_eq!(rows[0].get::<_, f64>("metres"), 2.5);
    assert!(!rows[0].get::<_, bool>("shipped"));
}
