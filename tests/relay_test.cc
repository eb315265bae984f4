/*
 * Messages between entries, against the emulated platform: dispatch of stages,
 * the list of upstreams, placement of prompts, discovery of peers. Most tests
 * inject a fault between entries and check that requests survive it.
 */
#include "direct_rig.h"

#include <memory>
#include <set>

namespace
{

const char first_ip[] = "127.0.0.1";
const char second_ip[] = "127.0.0.2";
const char fake_ip[] = "127.0.0.9";

/* A peer that sends and receives single datagrams. Their last byte is the
 * kind. */
struct FakePeer {
	GSocket *socket;
	GSocketAddress *to;
	std::map<char, int> received;
	GVariant *last_results = nullptr; /* of results */
	GVariant *last_query = nullptr;	  /* of a placement */
	std::string last_commitments;	  /* printed */
	guint64 last_work = 0;		  /* number of the last submission */
	guint32 work_flags = 0;		  /* its flags */
	uint32_t capacity = 0;		  /* of the last hello */
	std::set<std::string> named_ips;  /* in any hello */
	gsize most_names = 0;		  /* in one hello */

	explicit FakePeer(const char *ip = fake_ip)
	{
		GSocketAddress *at =
			g_inet_socket_address_new_from_string(ip, peers_port());

		to = g_inet_socket_address_new_from_string(first_ip,
							   peers_port());
		socket = g_socket_new(G_SOCKET_FAMILY_IPV4,
				      G_SOCKET_TYPE_DATAGRAM,
				      G_SOCKET_PROTOCOL_UDP, nullptr);
		EXPECT_TRUE(g_socket_bind(socket, at, TRUE, nullptr));
		g_socket_set_blocking(socket, FALSE);
		g_object_unref(at);
	}
	~FakePeer()
	{
		if (last_results)
			g_variant_unref(last_results);
		if (last_query)
			g_variant_unref(last_query);
		g_object_unref(socket);
		g_object_unref(to);
	}
	void send(char kind, GVariant *floating)
	{
		GVariant *body = g_variant_ref_sink(floating);
		std::string bytes((const char *)g_variant_get_data(body),
				  g_variant_get_size(body));

		bytes.push_back(kind);
		g_socket_send_to(socket, to, bytes.data(), bytes.size(),
				 nullptr, nullptr);
		g_variant_unref(body);
	}
	void send_hello(uint32_t capacity, const char *name = nullptr,
			uint64_t start = 77)
	{
		const char *names[] = { name, nullptr };

		send('H', g_variant_new("(x@asut)", (gint64)0,
					g_variant_new_strv(names, name ? 1 : 0),
					capacity, (guint64)start));
	}
	void submit(uint64_t number, const char *id)
	{
		const guint32 index = 0;
		const char *none[] = { nullptr };

		send('A', g_variant_new("(tsssu@au@asxxixusxs)",
					(guint64)number, "first", id, "k", 0u,
					g_variant_new_fixed_array(
						G_VARIANT_TYPE_UINT32, &index,
						1, sizeof(index)),
					g_variant_new_strv(none, 0),
					(gint64)500000, (gint64)5000000, 0,
					(gint64)100, 0u, "", (gint64)0, "*"));
	}
	/* Receives the datagrams that have arrived, and answers none. */
	void receive()
	{
		alignas(8) char bytes[8192];

		while (true) {
			gssize size = g_socket_receive(
				socket, bytes, sizeof(bytes), nullptr, nullptr);

			if (size <= 0)
				return;
			received[bytes[size - 1]]++;
			if (bytes[size - 1] == 'R')
				keep_results(bytes, size - 1);
			if (bytes[size - 1] == 'A')
				read_work(bytes, size - 1);
			if (bytes[size - 1] == 'H')
				read_hello(bytes, size - 1);
			if (bytes[size - 1] == 'P')
				keep_query(bytes, size - 1);
			if (bytes[size - 1] == 'T')
				print_commitments(bytes, size - 1);
		}
	}
	void keep_query(const char *bytes, gsize size)
	{
		GBytes *copy = g_bytes_new(bytes, size);

		if (last_query)
			g_variant_unref(last_query);
		last_query = g_variant_ref_sink(g_variant_new_from_bytes(
			G_VARIANT_TYPE("(tsa(tx)atsxxs)"), copy, FALSE));
		g_bytes_unref(copy);
	}
	void read_work(const char *bytes, gsize size)
	{
		GVariant *work = g_variant_ref_sink(g_variant_new_from_data(
			G_VARIANT_TYPE("(tsssuauasxxixusxs)"), bytes, size,
			FALSE, nullptr, nullptr));

		g_variant_get_child(work, 0, "t", &last_work);
		g_variant_get_child(work, 11, "u", &work_flags);
		g_variant_unref(work);
	}
	void print_commitments(const char *bytes, gsize size)
	{
		GVariant *body = g_variant_ref_sink(g_variant_new_from_data(
			G_VARIANT_TYPE("(ta(sau))"), bytes, size, FALSE,
			nullptr, nullptr));
		GVariant *list = g_variant_get_child_value(body, 1);
		g_autofree char *text = g_variant_print(list, FALSE);

		last_commitments = text;
		g_variant_unref(list);
		g_variant_unref(body);
	}
	/* Accepts the last submitted work, with these queue waits. */
	void accept(const std::vector<gint64> &waits_us)
	{
		send('K', g_variant_new(
				  "(t@ax)", last_work,
				  g_variant_new_fixed_array(
					  G_VARIANT_TYPE_INT64, waits_us.data(),
					  waits_us.size(), sizeof(gint64))));
	}
	void read_hello(const char *bytes, gsize size)
	{
		GVariant *hello = g_variant_ref_sink(g_variant_new_from_data(
			G_VARIANT_TYPE("(xasut)"), bytes, size, FALSE, nullptr,
			nullptr));

		GVariant *names = g_variant_get_child_value(hello, 1);

		most_names = std::max(most_names, g_variant_n_children(names));
		for (gsize i = 0; i < g_variant_n_children(names); i++) {
			const char *name;

			g_variant_get_child(names, i, "&s", &name);
			named_ips.insert(name);
		}
		g_variant_unref(names);
		g_variant_get_child(hello, 2, "u", &capacity);
		g_variant_unref(hello);
	}
	void keep_results(const char *bytes, gsize size)
	{
		GBytes *copy = g_bytes_new(bytes, size);

		if (last_results)
			g_variant_unref(last_results);
		last_results = g_variant_ref_sink(g_variant_new_from_bytes(
			G_VARIANT_TYPE("(tta(uuts)ax)"), copy, FALSE));
		g_bytes_unref(copy);
	}
	void receive_for(int64_t ms)
	{
		run_loop_until(
			[this] {
				receive();
				return false;
			},
			ms);
	}
};

/* A platform with one upstream of each stage, and two entries. The first has
 * the larger capacity and dispatches. */
struct EntryPair {
	Rig first;
	std::unique_ptr<Rig> second = std::make_unique<Rig>(&first);
	pe_upstream *stage = first.add(PE_STAGE, "first");
	std::vector<std::unique_ptr<CallerRequest>> requests;

	EntryPair()
	{
		first.add(PE_STAGE, "second");
		first.add(PE_ENGINE, "engine");
		first.join(first_ip, 4000, { second_ip });
		second->join(second_ip, 100, { first_ip });
		first.settle();
		second->settle();
		EXPECT_TRUE(run_loop_until([&] {
			return direct_peers_count(first.peers) == 2 &&
			       direct_peers_count(second->peers) == 2;
		}));
		run_loop_until([] { return false; }, 300);
	}
	CallerRequest &request(Rig &entry, const std::string &id)
	{
		requests.push_back(std::make_unique<CallerRequest>(
			entry.address, id.c_str(), "/staged/x",
			Fields{ { "X-Pieces", "1,1" },
				{ "X-Piece-Key", "k" + id } }));
		return *requests.back();
	}
};

/* Pieces of all entries that arrive during a call share the next one. If each
 * entry called by itself, calls would carry few pieces. */
TEST(Relay, DispatcherBatchesPiecesOfAllEntries)
{
	EntryPair pair;

	pe_set_work_ms(pair.stage, 300);
	pair.request(pair.first, "a0");
	ASSERT_TRUE(run_loop_until([&] { return pe_calls(pair.stage) == 1; }));
	for (int i = 1; i < 4; i++) {
		pair.request(pair.first, "a" + std::to_string(i));
		pair.request(*pair.second, "b" + std::to_string(i));
	}
	for (auto &request : pair.requests)
		EXPECT_EQ(request->wait().body, complete_stream);
	EXPECT_EQ(pe_calls(pair.stage), 2u);
	EXPECT_EQ(pe_pieces_made(pair.first.platform), 14u);
	EXPECT_TRUE(run_loop_until(
		[&] { return pe_pieces_kept(pair.first.platform) == 0; }));
}

int64_t datagrams(Rig &rig, const char *direction)
{
	int64_t count = 0;

	for (char kind = 'A'; kind <= 'Z'; kind++)
		count += *lp_counter(rig.counters,
				     "linepier_peer_datagrams_total",
				     (std::string("direction=\"") + direction +
				      "\",kind=\"" + kind + "\"")
					     .c_str());
	return count;
}

/* Commitments had the letter of another kind, so that dispatchers dropped them
 * as malformed: pieces that will come were not known to them. */
TEST(Relay, DatagramsOfAnEntryAreReadByItsPeer)
{
	EntryPair pair;

	pe_set_work_ms(pair.stage, 400); /* the second stage's pieces wait */
	for (int i = 0; i < 4; i++)
		pair.request(*pair.second, "b" + std::to_string(i));
	for (auto &request : pair.requests)
		EXPECT_EQ(request->wait().body, complete_stream);
	EXPECT_GT(*lp_counter(pair.first.counters,
			      "linepier_peer_datagrams_total",
			      "direction=\"received\",kind=\"T\""),
		  0);
	EXPECT_EQ(datagrams(pair.first, "malformed"), 0);
	EXPECT_EQ(datagrams(*pair.second, "malformed"), 0);
}

/* The dispatcher is killed while pieces of its peer are in flight. */
TEST(Relay, WorkIsResubmittedAfterDispatcherIsKilled)
{
	EntryPair pair;

	pe_set_work_ms(pair.stage, 400);
	CallerRequest &request = pair.request(*pair.second, "b1");
	ASSERT_TRUE(run_loop_until([&] { return pe_calls(pair.stage) == 1; }));
	pair.first.end();
	EXPECT_EQ(request.wait().body, complete_stream);
	EXPECT_LT(request.took_us, 3 * LP_US_PER_S);
}

/* A restart is noticed by the hello, before the dispatcher has been silent for
 * long. */
TEST(Relay, WorkIsResubmittedAfterDispatcherRestart)
{
	EntryPair pair;

	pe_set_work_ms(pair.stage, 1500);
	CallerRequest &request = pair.request(*pair.second, "b1");
	ASSERT_TRUE(run_loop_until([&] { return pe_calls(pair.stage) == 1; }));
	pair.first.end();
	pe_set_work_ms(pair.stage, 20);
	Rig restarted(pair.second.get());

	restarted.join(first_ip, 4000, { second_ip });
	restarted.settle();
	EXPECT_EQ(request.wait().body, complete_stream);
	restarted.end();
}

TEST(Relay, DrainingDispatcherGetsNoNewWork)
{
	EntryPair pair;

	pe_set_work_ms(pair.stage, 400);
	CallerRequest &before = pair.request(*pair.second, "b1");
	ASSERT_TRUE(run_loop_until([&] { return pe_calls(pair.stage) == 1; }));
	direct_drain(pair.first.entry);
	run_loop_until([] { return false; }, 250);
	pe_set_work_ms(pair.stage, 20);
	CallerRequest &after = pair.request(*pair.second, "b2");
	/* Work that it accepted before is completed. */
	EXPECT_EQ(before.wait().body, complete_stream);
	pair.first.end();
	EXPECT_EQ(after.wait().body, complete_stream);
	EXPECT_LT(after.took_us, 450000);
}

TEST(Relay, DisconnectedClientCancelsItsPieces)
{
	EntryPair pair;

	pe_set_work_ms(pair.stage, 300);
	pair.request(pair.first, "a0");
	ASSERT_TRUE(run_loop_until([&] { return pe_calls(pair.stage) == 1; }));
	CallerRequest &disconnected = pair.request(*pair.second, "b1");
	run_loop_until([] { return false; }, 100);
	disconnected.cancel();
	EXPECT_EQ(pair.requests[0]->wait().body, complete_stream);
	run_loop_until([] { return false; }, 400);
	EXPECT_EQ(pe_calls(pair.stage), 1u);
	EXPECT_TRUE(run_loop_until(
		[&] { return pe_pieces_kept(pair.first.platform) == 0; }));
}

/* ---- the list of upstreams ---- */

/* Calls to the store are paid for: two entries must not read the list more
 * often than one. */
TEST(Relay, UnchangedUpstreamListIsReadByOneEntryForAll)
{
	EntryPair pair;
	int64_t before =
		*pair.first.range_calls() + *pair.second->range_calls();
	int64_t reads_by_one = 2000 / 360; /* reads in two seconds */

	run_loop_until([] { return false; }, 2000);
	EXPECT_LE(*pair.first.range_calls() + *pair.second->range_calls() -
			  before,
		  reads_by_one + 2);
	EXPECT_GE(*pair.first.range_calls() + *pair.second->range_calls() -
			  before,
		  3);
}

/* The entry that reads a changed list passes it to its peer in time, so that
 * neither sends to an upstream that drains. */
TEST(Relay, ChangedUpstreamListIsReadOnceAndForwarded)
{
	EntryPair pair;
	pe_upstream *draining = pair.first.add(PE_PLAIN, "plain");
	int64_t reads;
	uint32_t before;

	pair.first.add(PE_PLAIN, "plain");
	run_loop_until([] { return false; }, 700);
	reads = *pair.first.range_calls() + *pair.second->range_calls();
	pe_drain(draining);
	run_loop_until([] { return false; }, 700); /* of 800 ms allowed */
	EXPECT_LE(*pair.first.range_calls() + *pair.second->range_calls() -
			  reads,
		  4);
	before = pe_arrivals(draining);
	for (int i = 0; i < 4; i++) {
		EXPECT_EQ(CallerRequest(pair.first.address, "a", "/look/x")
				  .wait()
				  .status,
			  200u);
		EXPECT_EQ(CallerRequest(pair.second->address, "b", "/look/x")
				  .wait()
				  .status,
			  200u);
	}
	EXPECT_EQ(pe_arrivals(draining), before);
}

/* A peer that reported a newer list may terminate before it is asked for it. */
TEST(Relay, UpstreamListIsReadWhenPeerDoesNotServeIt)
{
	Rig rig;
	FakePeer fake;
	pe_upstream *draining = rig.add(PE_PLAIN, "plain");
	uint32_t before;

	rig.add(PE_PLAIN, "plain");
	rig.join(first_ip, 100, { fake_ip });
	rig.settle();
	pe_drain(draining);
	for (int i = 0; i < 3; i++) {
		fake.send('L',
			  g_variant_new("(tx)", (guint64)(99 + i), (gint64)0));
		run_loop_until([] { return false; }, 250);
	}
	before = pe_arrivals(draining);
	for (int i = 0; i < 4; i++)
		EXPECT_EQ(CallerRequest(rig.address, "a", "/look/x")
				  .wait()
				  .status,
			  200u);
	EXPECT_EQ(pe_arrivals(draining), before);
}

/* ---- prompts ---- */

const Fields prompt = { { "X-Model", "m" },
			{ "X-Token-Counts", "3000,80" },
			{ "X-Prompt-Prefix", "aa:2000,bb:1000" } };

/* Without a placer each entry would choose the engine that is best without
 * load, and both prompts would go to the same one. */
TEST(Relay, PlacementBalancesPromptsOfAllEntries)
{
	EntryPair pair;
	pe_upstream *other = pair.first.add(PE_ENGINE, "engine");
	uint32_t before;

	pair.first.settle();
	pair.second->settle();
	before = pe_arrivals(other);
	for (int i = 0; i < 2; i++) {
		Rig &entry = i ? *pair.second : pair.first;
		Fields fields = { { "X-Model", "m" },
				  { "X-Token-Counts", "9000,80" },
				  { "X-Prompt-Prefix",
				    i ? "cc:9000" : "dd:9000" } };

		pair.requests.push_back(std::make_unique<CallerRequest>(
			entry.address, i ? "b1" : "a1", "/again/x", fields));
		run_loop_until([] { return false; }, 5);
	}
	for (auto &request : pair.requests)
		EXPECT_EQ(request->wait().body, complete_stream);
	EXPECT_EQ(pe_arrivals(other) - before, 1u);
}

/* Without a placer an entry would not know which prefixes others have sent. */
TEST(Relay, PlacementReusesPrefixSentByAnotherEntry)
{
	EntryPair pair;
	int64_t sent = 0;

	for (int i = 0; i < 3; i++)
		pair.first.add(PE_ENGINE, "engine");
	pair.first.settle();
	pair.second->settle();
	EXPECT_EQ(CallerRequest(pair.first.address, "a1", "/again/x", prompt)
			  .wait()
			  .body,
		  complete_stream);
	Fields likewise = prompt;

	likewise["X-Prompt-Prefix"] = "aa:2000,cc:1000";
	EXPECT_EQ(
		CallerRequest(pair.second->address, "b1", "/again/x", likewise)
			.wait()
			.body,
		complete_stream);
	sent = *lp_counter(pair.second->counters,
			   "linepier_prompt_tokens_total", "cached=\"no\"");
	EXPECT_EQ(sent, 1000); /* the block that differs */
}

/* ---- one entry and a fake peer ---- */

/* An entry with one upstream of each stage. */
struct EntryWithFakePeer {
	Rig rig;
	pe_upstream *stage = rig.add(PE_STAGE, "first");
	pe_upstream *engine = rig.add(PE_ENGINE, "engine");
	FakePeer fake;

	EntryWithFakePeer()
	{
		rig.add(PE_STAGE, "second");
		rig.join(first_ip, 100, { fake_ip });
		rig.settle();
	}
};

/* A peer that advertises a large capacity is dispatcher but answers nothing.
 * The entry resends the work, then stops waiting for the peer. */
TEST(Relay, WorkIsResubmittedWhenDispatcherNeverAnswers)
{
	EntryWithFakePeer setup;

	setup.fake.send_hello(9000);
	run_loop_until([] { return false; }, 300);
	CallerRequest request(
		setup.rig.address, "a1", "/staged/x",
		{ { "X-Pieces", "1,1" }, { "X-Piece-Key", "k" } });

	setup.fake.receive_for(400);
	EXPECT_GE(setup.fake.received['A'], 2);
	EXPECT_EQ(request.wait().body, complete_stream);
	EXPECT_LT(request.took_us, 2 * LP_US_PER_S);
}

/* The dispatcher accepts work and falls silent. The entry probes it, then
 * stops waiting for it. */
TEST(Relay, WorkIsResubmittedWhenDispatcherFallsSilent)
{
	EntryWithFakePeer setup;
	const gint64 waits_us[4] = {};

	setup.fake.send_hello(9000);
	run_loop_until([] { return false; }, 300);
	CallerRequest request(
		setup.rig.address, "a1", "/staged/x",
		{ { "X-Pieces", "1,1" }, { "X-Piece-Key", "k" } });

	ASSERT_TRUE(run_loop_until([&] {
		setup.fake.receive();
		return setup.fake.received['A'] > 0;
	}));
	/* Any datagram shows that the peer is alive. */
	setup.fake.send('C', g_variant_new("(t)", (guint64)1));
	setup.fake.send('K',
			g_variant_new("(t@ax)", (guint64)1,
				      g_variant_new_fixed_array(
					      G_VARIANT_TYPE_INT64, waits_us, 4,
					      sizeof(gint64))));
	EXPECT_EQ(request.wait().body, complete_stream);
	EXPECT_LT(request.took_us, 2 * LP_US_PER_S);
}

/* Guards against requests that wait for nothing but their deadline: a result
 * of another piece, or a second one of the same, ended the submission. */
TEST(Relay, SurplusResultsDoNotEndSubmission)
{
	const gint64 waits_us[4] = {};
	const guint32 failed = 4;
	EntryWithFakePeer setup;

	setup.fake.send_hello(9000);
	run_loop_until([] { return false; }, 300);
	CallerRequest request(
		setup.rig.address, "a1", "/staged/x",
		{ { "X-Pieces", "2,1" }, { "X-Piece-Key", "k" } });

	ASSERT_TRUE(run_loop_until([&] {
		setup.fake.receive();
		return setup.fake.received['A'] > 0;
	}));
	for (guint64 serial = 1; serial < 3; serial++) {
		GVariantBuilder list;

		g_variant_builder_init(&list, G_VARIANT_TYPE("a(uuts)"));
		for (guint32 index = 2; index < 5; index++)
			g_variant_builder_add(&list, "(uuts)", index, failed,
					      (guint64)0, "");
		setup.fake.send(
			'R',
			g_variant_new("(tta(uuts)@ax)", setup.fake.last_work,
				      serial, &list,
				      g_variant_new_fixed_array(
					      G_VARIANT_TYPE_INT64, waits_us, 4,
					      sizeof(gint64))));
		run_loop_until([] { return false; }, 30);
		EXPECT_EQ(direct_stuck_requests(setup.rig.entry), 0u);
	}
	EXPECT_EQ(request.wait().body, complete_stream);
}

/* Guards against requests that wait for nothing but their deadline: the
 * dispatcher has accepted the work and lives, but its results were lost. */
TEST(Relay, AcceptedWorkIsConfirmedAgain)
{
	const gint64 waits_us[4] = {};
	EntryWithFakePeer setup;
	int sent = 0;

	setup.fake.send_hello(9000);
	run_loop_until([] { return false; }, 300);
	CallerRequest request(
		setup.rig.address, "a1", "/staged/x",
		{ { "X-Pieces", "1,1" }, { "X-Piece-Key", "k" } });

	EXPECT_TRUE(run_loop_until(
		[&] {
			setup.fake.receive();
			if (setup.fake.received['A'] > sent)
				setup.fake.send(
					'K',
					g_variant_new(
						"(t@ax)", setup.fake.last_work,
						g_variant_new_fixed_array(
							G_VARIANT_TYPE_INT64,
							waits_us, 4,
							sizeof(gint64))));
			else if (sent)
				setup.fake.send_hello(9000);
			sent = setup.fake.received['A'];
			return sent > 1;
		},
		1500));
	EXPECT_EQ(direct_stuck_requests(setup.rig.entry), 0u);
}

/* Engine and dispatcher of a stream are lost at the same time. Guards against
 * the stream's pieces losing their precedence on the way to a dispatcher, or
 * the stream being aborted although it can go on in time. */
TEST(Relay, StreamContinuesAfterLossOfEngineAndDispatcher)
{
	const guint32 resumes_flag = 16;
	EntryWithFakePeer setup;
	pe_upstream *engines[2] = { setup.engine,
				    setup.rig.add(PE_ENGINE, "engine") };

	setup.rig.settle();
	for (pe_upstream *engine : engines) {
		pe_fault(engine, PE_FAULT_CUT);
		pe_set_work_ms(engine, 500);
	}
	CallerRequest request(
		setup.rig.address, "a1", "/restaged/x",
		{ { "X-Pieces", "1,1" }, { "X-Piece-Key", "k" } });

	ASSERT_TRUE(run_loop_until(
		[&] { return pe_runs(setup.rig.platform, "a1") == 1; }));
	setup.fake.receive();
	EXPECT_EQ(setup.fake.received['A'], 0);
	setup.fake.send_hello(9000);
	for (pe_upstream *engine : engines)
		if (!pe_arrivals(engine))
			pe_fault(engine, PE_FAULT_NONE);
	ASSERT_TRUE(run_loop_until([&] {
		setup.fake.receive();
		return setup.fake.received['A'] > 0;
	}));
	EXPECT_EQ(setup.fake.work_flags & resumes_flag, resumes_flag);
	EXPECT_EQ(request.wait().body, complete_stream);
	EXPECT_EQ(*lp_counter(setup.rig.counters,
			      "linepier_stream_resumes_total",
			      "outcome=\"continued\""),
		  1);
}

/* A burst at a dispatcher of this release, whose notice ends with the wait of
 * late work, and at one of an older release, whose notice does not: both are
 * read, and requests are admitted as late only by the first. Guards against a
 * refusal that comes late, or claims that a request did not run which did. */
TEST(Relay, NoticesWithAndWithoutTheWaitOfLateWorkDecideAdmission)
{
	EntryWithFakePeer setup;
	const gint64 wait_us = 2000000; /* as the route's target */
	const Fields pieces = { { "X-Pieces", "1,1" }, { "X-Piece-Key", "k" } };
	const auto admissions = [&](const char *outcome) {
		return *lp_counter(setup.rig.counters,
				   "linepier_admissions_total", outcome);
	};

	setup.fake.send_hello(9000);
	run_loop_until([] { return false; }, 300);
	CallerRequest first(setup.rig.address, "a1", "/staged/x", pieces);

	ASSERT_TRUE(run_loop_until([&] {
		setup.fake.receive();
		return setup.fake.received['A'] > 0;
	}));
	EXPECT_EQ(admissions("outcome=\"on_time\""), 1);
	setup.fake.accept(std::vector<gint64>(ADMISSION_RANKS + 1, wait_us));
	run_loop_until([] { return false; }, 30);
	CallerRequest second(setup.rig.address, "a2", "/staged/x", pieces);

	EXPECT_TRUE(run_loop_until(
		[&] { return admissions("outcome=\"late\"") == 1; }));
	setup.fake.accept({ wait_us, wait_us, wait_us, wait_us });
	run_loop_until([] { return false; }, 30);
	CallerRequest third(setup.rig.address, "a3", "/staged/x", pieces);

	EXPECT_EQ(third.wait().status, 503u);
	EXPECT_LT(third.took_us, 250000); /* an eighth of the target */
	EXPECT_GT(std::stod(third.retry_after), 0);
	EXPECT_LE(std::stod(third.retry_after), 1); /* a third of 3 s */
	EXPECT_EQ(admissions("outcome=\"refused\""), 1);
	/* The dispatcher falls silent. */
	EXPECT_EQ(first.wait().body, complete_stream);
	EXPECT_EQ(second.wait().body, complete_stream);
}

/* A request waits for its first stage: the dispatcher is told of the pieces
 * that will follow, and that they will not once the caller has left. */
TEST(Relay, DispatcherIsToldOfPiecesThatWillCome)
{
	EntryWithFakePeer setup;

	setup.fake.send_hello(9000);
	run_loop_until([] { return false; }, 300);
	CallerRequest request(
		setup.rig.address, "a1", "/staged/x",
		{ { "X-Pieces", "1,3" }, { "X-Piece-Key", "k" } });

	ASSERT_TRUE(run_loop_until([&] {
		setup.fake.receive();
		return setup.fake.received['T'] > 0;
	}));
	EXPECT_EQ(setup.fake.last_commitments, "[('second', [3])]");
	request.cancel();
	EXPECT_TRUE(run_loop_until([&] {
		setup.fake.receive();
		return setup.fake.last_commitments == "[]";
	}));
	EXPECT_LE(setup.fake.received['T'], 3);
}

/* Lost datagrams: results are resent until they are confirmed, and work that is
 * received twice runs once. */
TEST(Relay, ResultsAreResentUntilConfirmedAndDuplicateWorkRunsOnce)
{
	EntryWithFakePeer setup;
	guint64 serial;
	int before;

	setup.fake.send_hello(50);
	run_loop_until([] { return false; }, 300);
	pe_set_work_ms(setup.stage, 100);
	setup.fake.submit(5, "f1");
	setup.fake.submit(5, "f1");
	setup.fake.receive_for(450);
	EXPECT_EQ(setup.fake.received['K'], 2);
	EXPECT_GE(setup.fake.received['R'], 3);
	EXPECT_EQ(pe_pieces_made(setup.rig.platform), 1u);
	ASSERT_NE(setup.fake.last_results, nullptr);
	g_variant_get_child(setup.fake.last_results, 1, "t", &serial);
	setup.fake.send('C', g_variant_new("(t)", serial));
	run_loop_until([] { return false; }, 100);
	setup.fake.receive();
	before = setup.fake.received['R'];
	setup.fake.receive_for(300);
	EXPECT_EQ(setup.fake.received['R'], before);
}

/* The receiver has terminated, and never confirms its results. */
TEST(Relay, ResendsOfUnconfirmedResultsAreBounded)
{
	EntryWithFakePeer setup;
	int before;

	setup.fake.send_hello(50);
	run_loop_until([] { return false; }, 300);
	setup.fake.submit(5, "f1");
	setup.fake.receive_for(900);
	before = setup.fake.received['R'];
	EXPECT_GE(before, 3);
	setup.fake.receive_for(300);
	EXPECT_EQ(setup.fake.received['R'], before);
}

/* Peers that knew its earlier start may submit work to a restarted entry before
 * it has a configuration, which crashed it. */
TEST(Relay, UnconfiguredEntryTakesNoWork)
{
	Rig rig(false);
	FakePeer fake;

	rig.join(first_ip, 4000, { fake_ip });
	fake.send_hello(50);
	fake.submit(5, "f1");
	fake.receive_for(300);
	EXPECT_GT(fake.received['H'], 0);
	EXPECT_EQ(fake.received['K'], 0);
}

/* A restarted entry may get results that its earlier start had submitted, and
 * frees them. It has the list of upstreams by then, but the configuration may
 * arrive later over a slow link. It crashed as it looked up the service in the
 * configuration that it did not have. */
TEST(Relay, UnconfiguredEntryFreesResultsOfEarlierStart)
{
	Rig rig(false);
	FakePeer fake;
	pe_upstream *producer = rig.add(PE_STAGE, "first");
	const int64_t waits_us[3] = { 0, 0, 0 };
	GVariantBuilder results;

	rig.join(first_ip, 4000, { fake_ip });
	ASSERT_TRUE(run_loop_until(
		[&] { return plf_feed_kv_is_available(rig.feed); }));
	fake.send_hello(50);
	g_variant_builder_init(&results, G_VARIANT_TYPE("a(uuts)"));
	g_variant_builder_add(&results, "(uuts)", 0u, 0u,
			      (guint64)lp_hash_str(pe_name(producer)),
			      "10.0.0.1:1/1");
	fake.send('R', g_variant_new("(tta(uuts)@ax)", (guint64)5, (guint64)6,
				     &results,
				     g_variant_new_fixed_array(
					     G_VARIANT_TYPE_INT64, waits_us, 3,
					     sizeof(int64_t))));
	/* Dispatchers are assigned at least every quarter of a second. */
	fake.receive_for(800);
	EXPECT_EQ(fake.received['C'], 1);
	rig.set_config(1);
	rig.settle();
}

/* After all entries had been killed, each dispatched by itself until periodic
 * hellos had named the others. A new or named peer must get a hello at once. */
TEST(Relay, NewPeersGetHelloAtOnce)
{
	Rig rig;
	FakePeer fake;
	FakePeer named_peer("127.0.0.8");

	rig.join(first_ip, 100, { fake_ip });
	/* The initial hellos are over then, and the next periodic one is some
	 * 0.9 s away. */
	run_loop_until([] { return false; }, 1100);
	fake.receive();
	fake.received.clear();
	fake.send_hello(50, "127.0.0.8");
	fake.receive_for(150);
	named_peer.receive();
	EXPECT_EQ(fake.received['H'], 1);
	EXPECT_EQ(named_peer.received['H'], 1);
	/* The peer has restarted. */
	fake.received.clear();
	fake.send_hello(50, nullptr, 78);
	fake.receive_for(150);
	EXPECT_EQ(fake.received['H'], 1);
	EXPECT_EQ(direct_peers_count(rig.peers), 2u);
}

/* A hello to an entry that starts a little later is lost, so it is repeated. */
TEST(Relay, InitialHellosReachPeerThatStartsLater)
{
	Rig rig;

	rig.join(first_ip, 100, { fake_ip });
	run_loop_until([] { return false; }, 250);
	FakePeer fake;

	fake.receive_for(250);
	EXPECT_GE(fake.received['H'], 2);
	/* The initial hellos end once the peer has sent one. */
	fake.send_hello(50);
	fake.receive_for(50);
	fake.received.clear();
	fake.receive_for(200);
	EXPECT_EQ(fake.received['H'], 0);
}

/* After all entries had been killed, seventeen of them called the same
 * upstreams by themselves for more than a second, as they knew no peers yet. */
TEST(Relay, PiecesWaitForMemberDiscovery)
{
	Rig rig;
	FakePeer fake;

	rig.add(PE_STAGE, "first");
	rig.add(PE_STAGE, "second");
	rig.add(PE_ENGINE, "engine");
	rig.settle();
	rig.join(first_ip, 100, { fake_ip });
	CallerRequest request(
		rig.address, "a1", "/staged/x",
		{ { "X-Pieces", "1,1" }, { "X-Piece-Key", "k" } });

	run_loop_until([] { return false; }, 300);
	fake.send_hello(9000);
	ASSERT_TRUE(run_loop_until([&] {
		fake.receive();
		return fake.received['A'] > 0 ||
		       pe_pieces_made(rig.platform) > 0;
	}));
	EXPECT_EQ(pe_pieces_made(rig.platform), 0u);
	EXPECT_EQ(request.wait().body, complete_stream);
}

/* The dispatcher is alive and sends hellos, but never accepts work. */
TEST(Relay, WorkIsResubmittedWhenLiveDispatcherDoesNotAcceptIt)
{
	EntryWithFakePeer setup;

	setup.fake.send_hello(9000);
	run_loop_until([] { return false; }, 300);
	CallerRequest request(
		setup.rig.address, "a1", "/staged/x",
		{ { "X-Pieces", "1,1" }, { "X-Piece-Key", "k" } });

	EXPECT_TRUE(run_loop_until(
		[&] {
			setup.fake.send_hello(9000);
			return request.done;
		},
		2500));
	EXPECT_EQ(request.body, complete_stream);
}

/* Entries that were killed one after the other became dispatchers again as soon
 * as they had restarted, and the work was lost again. */
TEST(Relay, StartedEntryAdvertisesReducedCapacity)
{
	Rig rig;
	FakePeer fake;

	rig.join(first_ip, 4000, { fake_ip }, 1200000);
	rig.settle();
	fake.send_hello(50);
	fake.receive_for(100);
	EXPECT_EQ(fake.capacity, 1000u);
	ASSERT_TRUE(run_loop_until([&] {
		fake.receive();
		return fake.capacity == 4000;
	}));
}

/* A peer that advertises a large capacity is placer but answers no query. */
TEST(Relay, EntryPlacesPromptWhenPlacerDoesNotAnswer)
{
	EntryWithFakePeer setup;

	setup.fake.send_hello(9000);
	run_loop_until([] { return false; }, 300);
	CallerRequest request(setup.rig.address, "a1", "/again/x", prompt);

	EXPECT_EQ(request.wait().body, complete_stream);
	EXPECT_LT(request.took_us, 400000);
	setup.fake.receive();
	EXPECT_EQ(setup.fake.received['P'], 1);
}

/* A placement that is answered too late must not count at the placer for
 * good. */
TEST(Relay, LatePlacementIsReleasedAtPlacer)
{
	EntryWithFakePeer setup;

	setup.fake.send_hello(9000);
	run_loop_until([] { return false; }, 300);
	CallerRequest request(setup.rig.address, "a1", "/again/x", prompt);

	EXPECT_EQ(request.wait().body, complete_stream);
	setup.fake.send('Q', g_variant_new("(tttxxxx)", (guint64)1, (guint64)2,
					   (guint64)0, (gint64)0, (gint64)0,
					   (gint64)0, (gint64)0));
	setup.fake.receive_for(150);
	EXPECT_EQ(setup.fake.received['E'], 1);
}

/* The placer chooses an engine that the entry does not know. The entry places
 * the prompt itself and releases the placement. */
TEST(Relay, PlacementAtUnknownEngineIsRejected)
{
	EntryWithFakePeer setup;
	guint64 number = 0;

	setup.fake.send_hello(9000);
	run_loop_until([] { return false; }, 300);
	CallerRequest request(setup.rig.address, "a1", "/again/x", prompt);

	ASSERT_TRUE(run_loop_until([&] {
		setup.fake.receive();
		return setup.fake.received['P'] > 0;
	}));
	g_variant_get_child(setup.fake.last_query, 0, "t", &number);
	setup.fake.send('Q', g_variant_new("(tttxxxx)", number, (guint64)2,
					   (guint64)0, (gint64)0, (gint64)0,
					   (gint64)0, (gint64)0));
	EXPECT_EQ(request.wait().body, complete_stream);
	setup.fake.receive();
	EXPECT_EQ(setup.fake.received['E'], 1);
}

/* In a fleet of 68 that started on a busy host, two entries never discovered
 * each other. A hello names forty peers at the most, and all entries named the
 * same forty, so two others whose first hellos had been lost were never named
 * to each other. */
TEST(Relay, HellosOfLargeFleetNameAllPeersInTurn)
{
	const int count = 90;
	Rig rig;
	std::vector<std::unique_ptr<FakePeer>> members;

	rig.add(PE_PLAIN, "plain");
	rig.settle();
	rig.join(first_ip, 500, { fake_ip });
	for (int i = 0; i < count; i++) {
		std::string ip = "127.0.3." + std::to_string(i + 1);

		members.push_back(std::make_unique<FakePeer>(ip.c_str()));
	}
	for (int second = 0; second < 5; second++) {
		for (auto &member : members)
			member->send_hello(100);
		run_loop_until([] { return false; }, 1000);
		members[0]->receive();
		/* Hellos that arrived before the first receive are not
		 * counted. */
		if (second == 0)
			members[0]->named_ips.clear();
	}
	EXPECT_EQ(members[0]->named_ips.size(), (size_t)count);
}

/* Hellos made up nearly all of the traffic between 385 entries, 285 KB a second
 * for each, as every hello named forty peers that everyone knew. */
TEST(Relay, HellosAtRestNameFewPeers)
{
	const int count = 60;
	const int64_t bytes_per_hello = 100;
	Rig rig;
	std::vector<std::unique_ptr<FakePeer>> members;
	auto sent = [&](const char *name) {
		return *lp_counter(rig.counters, name,
				   "direction=\"sent\",kind=\"H\"");
	};
	int64_t datagrams = 0;
	int64_t bytes = 0;

	rig.join(first_ip, 500, { fake_ip });
	for (int i = 0; i < count; i++) {
		std::string ip = "127.0.3." + std::to_string(i + 1);

		members.push_back(std::make_unique<FakePeer>(ip.c_str()));
	}
	for (int second = 0; second < 7; second++) {
		for (auto &member : members)
			member->send_hello(100);
		run_loop_until([] { return false; }, 1000);
		if (second == 4) {
			datagrams = sent("linepier_peer_datagrams_total");
			bytes = sent("linepier_peer_datagram_bytes_total");
		}
	}
	datagrams = sent("linepier_peer_datagrams_total") - datagrams;
	bytes = sent("linepier_peer_datagram_bytes_total") - bytes;
	EXPECT_GE(datagrams, count);
	EXPECT_LE(bytes, bytes_per_hello * datagrams);
}

/* In a fleet of 385 that started at once each entry sent all others that had
 * not answered yet a hello ten times in a second, and none of them could
 * answer. */
TEST(Relay, InitialHellosToManySilentPeersAreBounded)
{
	const int count = 200;
	Rig rig;
	FakePeer fake;
	int64_t hellos;

	rig.join(first_ip, 500, { fake_ip });
	for (int i = 0; i < count; i++) {
		std::string ip = "127.0.9." + std::to_string(i + 1);

		fake.send_hello(50, ip.c_str());
	}
	run_loop_until([] { return false; }, 700);
	hellos = *lp_counter(rig.counters, "linepier_peer_datagrams_total",
			     "direction=\"sent\",kind=\"H\"");
	/* One when each is named, one when this entry is ready, and those of
	 * ten times. */
	EXPECT_GE(hellos, count);
	EXPECT_LE(hellos, 2 * count + 10 * 32);
}

/* Guards against members that were lost and found every four seconds: the
 * hellos of a round were sent at once, and the link dropped those to the same
 * peers each time. */
TEST(Relay, PeriodicHellosAreSpreadOverTheInterval)
{
	const int count = 160;
	Rig rig;
	std::vector<std::unique_ptr<FakePeer>> members;
	auto sent = [&] {
		return *lp_counter(rig.counters,
				   "linepier_peer_datagrams_total",
				   "direction=\"sent\",kind=\"H\"");
	};
	int64_t largest_burst = 0;
	int64_t before;
	int64_t begin;

	rig.join(first_ip, 500, { fake_ip });
	for (int i = 0; i < count; i++) {
		std::string ip = "127.0.3." + std::to_string(i + 1);

		members.push_back(std::make_unique<FakePeer>(ip.c_str()));
		members[i]->send_hello(100);
	}
	run_loop_until([] { return false; }, 1200);
	begin = before = sent();
	for (int i = 0; i < 200; i++) {
		run_loop_until([] { return false; }, 10);
		largest_burst = std::max(largest_burst, sent() - before);
		before = sent();
	}
	EXPECT_GE(before - begin, count);
	EXPECT_LE(largest_burst, count / 2);
}

/* The end of slow start is told at once. Otherwise each entry of a fleet that
 * started at once seems to itself the only strong one for up to a second, and
 * takes over all work: 385 entries queried all engines. */
TEST(Relay, EndOfSlowStartIsToldAtOnce)
{
	const int count = 120;
	Rig rig;
	std::vector<std::unique_ptr<FakePeer>> members;

	rig.join(first_ip, 400, { fake_ip }, 1500 * LP_US_PER_MS);
	for (int i = 0; i < count; i++) {
		std::string ip = "127.0.3." + std::to_string(i + 1);

		members.push_back(std::make_unique<FakePeer>(ip.c_str()));
		members[i]->send_hello(100);
	}
	run_loop_until([] { return false; }, 1400);
	for (auto &member : members) {
		member->receive();
		EXPECT_EQ(member->capacity, 100u);
	}
	run_loop_until([] { return false; }, 200);
	for (auto &member : members) {
		member->receive();
		EXPECT_EQ(member->capacity, 400u);
	}
}

/* A peer that was silent for a while, and has not restarted, is not named
 * again: the others know it, and long hellos made more peers seem lost. */
TEST(Relay, PeersThatReturnAreNotNamedAgain)
{
	const int count = 20;
	Rig rig;
	FakePeer fake;
	std::vector<std::unique_ptr<FakePeer>> others;

	rig.join(first_ip, 100, { fake_ip });
	for (int i = 0; i < count; i++) {
		std::string ip = "127.0.3." + std::to_string(i + 1);

		others.push_back(std::make_unique<FakePeer>(ip.c_str()));
	}
	for (int second = 0; second < 12; second++) {
		for (auto &other : others)
			other->send_hello(50);
		/* Silent for longer than the liveness timeout. */
		if (second < 2 || second > 7)
			fake.send_hello(50);
		run_loop_until([] { return false; }, 1000);
		others[0]->receive();
		if (second == 5)
			others[0]->most_names = 0;
	}
	EXPECT_EQ(direct_peers_count(rig.peers), (uint32_t)count + 2);
	EXPECT_EQ(others[0]->most_names, 2u); /* named in turn */
}

/* Traffic between entries is counted by kind, malformed datagrams apart. */
TEST(Relay, DatagramsAreCountedByKind)
{
	EntryWithFakePeer setup;
	auto count = [&](const char *labels) {
		return *lp_counter(setup.rig.counters,
				   "linepier_peer_datagrams_total", labels);
	};

	setup.fake.send_hello(50);
	setup.fake.send('A', g_variant_new("(s)", "not an ask"));
	ASSERT_TRUE(run_loop_until([&] {
		return count("direction=\"malformed\",kind=\"A\"") == 1;
	}));
	EXPECT_GE(count("direction=\"received\",kind=\"H\""), 1);
	EXPECT_GE(count("direction=\"sent\",kind=\"H\""), 1);
}

/* Guards against entries that do not call the key-value service not knowing of
 * its restore. */
TEST(Relay, PeerTellsOfARestoreOfTheService)
{
	EntryWithFakePeer setup;
	auto restores = [&] {
		return *lp_counter(setup.rig.counters,
				   "linepier_store_restores_total", nullptr);
	};
	auto tell_era = [&](gint64 era) {
		setup.fake.send('W',
				g_variant_new("(xxx@as)", era, era, (gint64)1,
					      g_variant_new_strv(nullptr, 0)));
		run_loop_until([] { return false; }, 200);
	};

	setup.fake.send_hello(50);
	tell_era(1);
	EXPECT_EQ(restores(), 0);
	tell_era(2);
	tell_era(2);
	EXPECT_EQ(restores(), 1);
}

/* Datagrams that cannot be read must have no effect. */
TEST(Relay, MalformedDatagramsAreIgnored)
{
	EntryWithFakePeer setup;

	setup.fake.send_hello(50);
	setup.fake.send('A', g_variant_new("(s)", "not an ask"));
	setup.fake.send('R', g_variant_new("(x)", (gint64)1));
	setup.fake.send('Z', g_variant_new("(s)", "?"));
	setup.fake.send('B', g_variant_new("(s)", "?"));
	setup.fake.send('T', g_variant_new("(s)", "?"));
	setup.fake.send(
		'G', g_variant_new("(txas)", (guint64)3, (gint64)-5, nullptr));
	setup.fake.send('D', g_variant_new("(t)", (guint64)9));
	run_loop_until([] { return false; }, 200);
	EXPECT_EQ(
		CallerRequest(setup.rig.address, "a1", "/staged/x",
			      { { "X-Pieces", "1,1" }, { "X-Piece-Key", "k" } })
			.wait()
			.body,
		complete_stream);
	EXPECT_EQ(pe_pieces_made(setup.rig.platform), 2u);
}

} // namespace
