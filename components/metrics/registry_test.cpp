#include "components/metrics/registry.hpp"

#include <criterion/criterion.h>

namespace
{

struct RegistryFixture
{
    metrics::Registry m_registry;
};

}

Test(registry, sameNameTwice_counter_isOneCounter)
{
    RegistryFixture fixture;
    fixture.m_registry.counter("foxtailcross_a_total", "A.").add(2);
    fixture.m_registry.counter("foxtailcross_a_total", "A.").add(3);
    cr_assert_eq(fixture.m_registry.counter("foxtailcross_a_total", "A.").value(), 5);
}

Test(registry, counterAndGauge_render_isPrometheusText)
{
    RegistryFixture fixture;
    fixture.m_registry.counter("foxtailcross_a_total", "Things done.").add(7);
    fixture.m_registry.gauge("foxtailcross_b", "Things open.").set(-1);
    const std::string expected = "# HELP foxtailcross_a_total Things done.\n# TYPE foxtailcross_a_total counter\nfoxtailcross_a_total 7\n"
                                 "# HELP foxtailcross_b Things open.\n# TYPE foxtailcross_b gauge\nfoxtailcross_b -1\n";
    cr_assert(fixture.m_registry.render() == expected);
}

Test(registry, labelledCounters_render_shareOneHelpLine)
{
    RegistryFixture fixture;
    fixture.m_registry.counter("foxtailcross_a_total", "Calls.", "kind=\"show\"").add(1);
    fixture.m_registry.counter("foxtailcross_a_total", "Calls.", "kind=\"submit\"").add(2);
    const std::string expected = "# HELP foxtailcross_a_total Calls.\n# TYPE foxtailcross_a_total counter\nfoxtailcross_a_total{kind=\"show\"} 1\n"
                                 "foxtailcross_a_total{kind=\"submit\"} 2\n";
    cr_assert(fixture.m_registry.render() == expected);
}

Test(registry, histogram_render_bucketsAddUp)
{
    RegistryFixture fixture;
    metrics::Histogram &histogram = fixture.m_registry.histogram("foxtailcross_h_ms", "Time.");
    histogram.add(std::chrono::milliseconds(1));
    histogram.add(std::chrono::milliseconds(7));
    histogram.add(std::chrono::milliseconds(9000));
    const std::string text = fixture.m_registry.render();
    cr_assert(text.find("foxtailcross_h_ms_bucket{le=\"1\"} 1\n") != std::string::npos);
    cr_assert(text.find("foxtailcross_h_ms_bucket{le=\"10\"} 2\n") != std::string::npos);
    cr_assert(text.find("foxtailcross_h_ms_bucket{le=\"5000\"} 2\n") != std::string::npos);
    cr_assert(text.find("foxtailcross_h_ms_bucket{le=\"+Inf\"} 3\n") != std::string::npos);
    cr_assert(text.find("foxtailcross_h_ms_sum 9008\n") != std::string::npos);
}
