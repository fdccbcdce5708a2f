//! Guards against wrong line fits and against a fleet model that the product would reject.

use anvilhub_coord::sheet::CheckedSheet;
use anvilhub_dev::capacity::{FleetModel, MeasuredSeries, SlopeFit, SpreadMeasurement};

#[test]
fn line_fits_exactly() {
    let fit = SlopeFit::from_points(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]);
    assert!((fit.slope - 2.0).abs() < 1e-9, "{fit:?}");
    assert!((fit.intercept - 3.0).abs() < 1e-9, "{fit:?}");
    assert!((fit.r_squared - 1.0).abs() < 1e-9, "{fit:?}");
}

#[test]
fn quadratic_fits_poorly() {
    // The R2 value must show that a quadratic cost is not linear.
    let mut series = MeasuredSeries::new("work", "item");
    for size in [1, 10, 100, 1_000] {
        series.add_point(size, (size * size) as f64);
    }
    assert!(series.fit().r_squared < 0.999, "{series}");
}

#[test]
fn scattered_points_fit() {
    let fit = SlopeFit::from_points(&[(0.0, 0.0), (1.0, 2.0), (2.0, 1.0), (3.0, 3.0)]);
    assert!((fit.slope - 0.8).abs() < 1e-9, "{fit:?}");
    assert!((fit.intercept - 0.3).abs() < 1e-9, "{fit:?}");
    assert!((fit.r_squared - 0.64).abs() < 1e-9, "{fit:?}");
}

#[test]
fn model_sheet_is_valid() {
    let plain = FleetModel::sheet(1, 1_000, false).unwrap();
    let packed = FleetModel::pack(&plain).unwrap();
    let sheet = CheckedSheet::from_bytes(&packed).unwrap();
    let replicas = sheet
        .services
        .values()
        .flat_map(|service| service.replicas());
    assert_eq!(replicas.count(), 1_000);
}

#[test]
fn model_acceptor_is_ready() {
    let sheet = FleetModel::sheet(1, 440, false).unwrap();
    for member_count in [1, 20, 100] {
        let acceptor = FleetModel::ready_acceptor(member_count, sheet.clone()).unwrap();
        assert!(acceptor.is_ready(), "{member_count} members");
    }
}

#[test]
fn losses_slow_spread() {
    // Rounds are counted in virtual time, so the same seed gives the same counts. Losses never reduce them.
    let series = SpreadMeasurement::run(20_261_204);
    assert_eq!(series, SpreadMeasurement::run(20_261_204));
    for pair in series.windows(2) {
        for (fewer, more) in pair[0].points.iter().zip(&pair[1].points) {
            assert!(fewer.1 <= more.1, "{} against {}", pair[0], pair[1]);
        }
    }
}
