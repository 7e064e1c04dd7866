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
