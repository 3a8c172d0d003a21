/// \file
/// Tests which credentials authenticate a request as which tenant, and which configured keys are
/// accepted.
#include "tenants/access.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace stoneport::tenants {

class AccessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AccessTest);
  CPPUNIT_TEST(credentials_identify_a_tenant_or_are_refused);
  CPPUNIT_TEST(without_tenants_nobody_needs_a_key);
  CPPUNIT_TEST(an_empty_list_of_tenants_refuses_everyone);
  CPPUNIT_TEST(invalid_definitions_are_skipped_and_reveal_no_key);
  CPPUNIT_TEST_SUITE_END();

  static TenantDefinition tenant(const std::string& name, std::vector<std::string> keys) {
    TenantDefinition definition;
    definition.tenant.name = core::TenantName(name);
    definition.keys = std::move(keys);
    return definition;
  }

  void credentials_identify_a_tenant_or_are_refused() {
    const TenantTable tenants({tenant("north", {"key-a", "key-b"}), tenant("south", {"key-c"})});
    const std::string long_key(kLongestKeyBytes + 1, 'k');
    struct Case {
      std::string name;
      std::vector<std::string> fields;
      AccessOutcome end;
      std::string tenant;
    };
    const Case cases[] = {
        {"a key", {"Bearer key-a"}, AccessOutcome::kGranted, "north"},
        {"another of its keys", {"Bearer key-b"}, AccessOutcome::kGranted, "north"},
        {"another tenant's", {"Bearer key-c"}, AccessOutcome::kGranted, "south"},
        {"scheme in other case", {"bEARER key-c"}, AccessOutcome::kGranted, "south"},
        {"blanks around", {"  Bearer \t key-c  "}, AccessOutcome::kGranted, "south"},
        {"none", {}, AccessOutcome::kNoKey, ""},
        {"empty field", {""}, AccessOutcome::kNoKey, ""},
        {"scheme alone", {"Bearer"}, AccessOutcome::kNoKey, ""},
        {"scheme and a blank", {"Bearer "}, AccessOutcome::kNoKey, ""},
        {"other scheme", {"Basic key-a"}, AccessOutcome::kNoKey, ""},
        {"scheme run into the key", {"Bearerkey-a"}, AccessOutcome::kNoKey, ""},
        {"two keys in one field", {"Bearer key-a key-c"}, AccessOutcome::kNoKey, ""},
        {"the field twice", {"Bearer key-a", "Bearer key-a"}, AccessOutcome::kManyKeys, ""},
        {"unknown", {"Bearer key-d"}, AccessOutcome::kUnknownKey, ""},
        {"the start of a key", {"Bearer key-"}, AccessOutcome::kUnknownKey, ""},
        {"a key and more", {"Bearer key-aa"}, AccessOutcome::kUnknownKey, ""},
        {"other case", {"Bearer KEY-A"}, AccessOutcome::kUnknownKey, ""},
        {"a tenant's name", {"Bearer north"}, AccessOutcome::kUnknownKey, ""},
        {"of absurd length", {"Bearer " + long_key}, AccessOutcome::kUnknownKey, ""},
    };
    for (const Case& one : cases) {
      const std::vector<std::string_view> fields(one.fields.begin(), one.fields.end());
      const Access access = check_access(tenants, fields, false);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, std::string(to_string(one.end)),
                                   std::string(to_string(access.end)));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, one.tenant, access.tenant.value());
      const Access open = check_access(tenants, fields, true);
      CPPUNIT_ASSERT_MESSAGE(one.name, open.end == AccessOutcome::kGranted);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, one.tenant, open.tenant.value());
    }
  }

  void without_tenants_nobody_needs_a_key() {
    const TenantTable none;
    CPPUNIT_ASSERT(!none.requires_keys());
    CPPUNIT_ASSERT(check_access(none, {}, false).end == AccessOutcome::kGranted);
    CPPUNIT_ASSERT(check_access(none, {"Bearer x"}, false).end == AccessOutcome::kGranted);
  }

  void an_empty_list_of_tenants_refuses_everyone() {
    const TenantTable empty{std::vector<TenantDefinition>()};
    CPPUNIT_ASSERT(empty.requires_keys());
    CPPUNIT_ASSERT(check_access(empty, {"Bearer x"}, false).end == AccessOutcome::kUnknownKey);
    CPPUNIT_ASSERT(check_access(empty, {"Bearer x"}, true).end == AccessOutcome::kGranted);
  }

  void invalid_definitions_are_skipped_and_reveal_no_key() {
    const std::string long_key(kLongestKeyBytes + 1, 'k');
    const TenantTable tenants({tenant("north", {"", "shared-secret", long_key, "own", "own"}),
                               tenant("south", {"shared-secret", "its-own"}),
                               tenant("", {"nameless-secret"}), tenant("south", {"further"})});
    const auto holder = [&](std::string_view key) {
      const Tenant* found = tenants.find_by_key(key);
      return found == nullptr ? std::string() : found->name.value();
    };
    CPPUNIT_ASSERT_EQUAL(std::string("north"), holder("own"));
    CPPUNIT_ASSERT_EQUAL(std::string("south"), holder("its-own"));
    CPPUNIT_ASSERT_EQUAL(std::string("south"), holder("further"));
    CPPUNIT_ASSERT_EQUAL(std::string(), holder(""));
    CPPUNIT_ASSERT_EQUAL(std::string(), holder("shared-secret"));
    CPPUNIT_ASSERT_EQUAL(std::string(), holder("nameless-secret"));
    CPPUNIT_ASSERT_EQUAL(std::string(), holder(long_key));
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, tenants.faults().size());
    for (const std::string& fault : tenants.faults()) {
      CPPUNIT_ASSERT_MESSAGE(fault, fault.find("secret") == std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AccessTest);

}  // namespace stoneport::tenants
