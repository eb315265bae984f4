/* Regions allowed for a request by its route, its organisation, or both. */
#include "direct_rig.h"
#include "pool_rig.h"

namespace
{

const char *regions_set(std::vector<const char *> regions)
{
	return allowed_regions_create(regions.data(), regions.size());
}

TEST(AllowedRegions, RouteAndOrganisationBothApply)
{
	const char *route = regions_set({ "north", "south" });
	const char *organisation = regions_set({ "south", "west" });

	EXPECT_EQ(allowed_regions_intersect(route, organisation),
		  regions_set({ "south" }));
	EXPECT_EQ(allowed_regions_intersect(route, ALLOWED_REGIONS_ANY), route);
	EXPECT_EQ(allowed_regions_intersect(ALLOWED_REGIONS_ANY, organisation),
		  organisation);
	EXPECT_EQ(allowed_regions_intersect(ALLOWED_REGIONS_ANY,
					    ALLOWED_REGIONS_ANY),
		  nullptr);
	EXPECT_EQ(regions_set({ "south", "north" }), route);
}

TEST(AllowedRegions, EmptyIntersectionAllowsNoRegion)
{
	const char *none = allowed_regions_intersect(regions_set({ "north" }),
						     regions_set({ "south" }));

	EXPECT_FALSE(allowed_regions_contain(none, "north"));
	EXPECT_FALSE(allowed_regions_contain(none, ""));
	EXPECT_FALSE(
		allowed_regions_contain(regions_set({ "north" }), nullptr));
	EXPECT_TRUE(allowed_regions_contain(ALLOWED_REGIONS_ANY, nullptr));
}

TEST(AllowedRegions, SurviveEncodingAndDecoding)
{
	const std::vector<const char *> sets = {
		ALLOWED_REGIONS_ANY,
		regions_set({ "north" }),
		allowed_regions_intersect(regions_set({ "a" }),
					  regions_set({ "b" })),
	};

	for (const char *set : sets)
		EXPECT_EQ(allowed_regions_decode(allowed_regions_encode(set)),
			  set);
}

/* Two domains, each a region, have engines and stages. A request restricted to
 * one region must not be sent to the other, even if its upstreams are idle. */
TEST(AllowedRegions, ApplyToCallsPiecesAndPrompts)
{
	Rig rig;
	std::vector<pe_upstream *> other_region_upstreams;
	std::vector<pe_upstream *>
		other_region_stages; /* may get memory queries */
	char *text = pe_sample_config(2);
	std::string json = text;
	const std::string name = "\"name\":\"acme\",";

	g_free(text);
	json.replace(json.find(name), name.size(),
		     name + "\"allowed_regions\":[\"north\"],");
	direct_set_region(rig.entry, "a", "south");
	direct_set_region(rig.entry, "b", "north");
	for (const char *domain : { "a", "b" }) {
		for (const char *service : { "first", "second" }) {
			pe_upstream *stage =
				pe_add(rig.platform, PE_STAGE, service, domain);

			if (*domain == 'a')
				other_region_stages.push_back(stage);
		}
		pe_upstream *engine =
			pe_add(rig.platform, PE_ENGINE, "engine", domain);

		if (*domain == 'a')
			other_region_upstreams.push_back(engine);
	}
	other_region_upstreams.push_back(
		pe_add(rig.platform, PE_PLAIN, "plain", "a"));
	pe_set_config(rig.platform, json.c_str());
	rig.settle(2);
	for (int i = 0; i < 4; i++)
		EXPECT_EQ(request_staged(rig, "s" + std::to_string(i)),
			  complete_stream);
	/* The only upstream is in the other region: refused at once. */
	EXPECT_EQ(CallerRequest(rig.address, "p", "/order/x").wait().status,
		  503u);
	for (pe_upstream *upstream : other_region_stages)
		EXPECT_EQ(pe_calls(upstream), 0u) << pe_name(upstream);
	for (pe_upstream *upstream : other_region_upstreams)
		EXPECT_EQ(pe_arrivals(upstream), 0u) << pe_name(upstream);
}

} // namespace
