#include "monsoonward/dispatch/dispatch.h"

#include <doctest/doctest.h>

using namespace monsoonward;

TEST_CASE("a customer is found by each of its keys and by no other string")
{
    auto configuration = std::make_shared<ServingConfiguration>();
    for (unsigned n = 0; n < 100; ++n) {
        CustomerConfiguration customer;
        customer.name = CustomerName("c" + std::to_string(n));
        customer.keys = {"first-" + std::to_string(n), "second-" + std::to_string(n)};
        configuration->customers.push_back(customer);
    }
    const CustomerTable table(configuration, 7);
    CHECK(table.requiresKey());
    REQUIRE(table.find("second-42") != nullptr);
    CHECK(table.find("second-42")->name == CustomerName("c42"));
    CHECK(table.find("first-0")->name == CustomerName("c0"));
    CHECK(table.find("first-") == nullptr);
    CHECK(table.find("") == nullptr);
    CHECK(table.find("first-100") == nullptr);
    CHECK_FALSE(CustomerTable(std::make_shared<ServingConfiguration>(), 7).requiresKey());
    auto emptyList = std::make_shared<ServingConfiguration>();
    emptyList->hasCustomerList = true;
    const CustomerTable noCustomers(emptyList, 7);
    CHECK(noCustomers.requiresKey());
    CHECK(noCustomers.find("") == nullptr);
}
