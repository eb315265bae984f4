/**
 * End-to-end rig in one process, over loopback: the emulated platform, an entry
 * that calls upstreams directly, and callers. The emulator records breaches of
 * its rules, such as a request that must not run twice; a Rig that owns its
 * platform reports each breach as a failure of the test.
 */
#ifndef DIRECT_RIG_H
#define DIRECT_RIG_H

#include "cwrap.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

/* Runs the event loop until a condition holds or `limit_ms` have passed;
 * returns the condition. */
inline bool run_loop_until(const std::function<bool()> &done,
			   int64_t limit_ms = 10000)
{
	const gint64 end_us = g_get_monotonic_time() + limit_ms * 1000;
	const guint ticks = g_timeout_add(
		5, [](gpointer) -> gboolean { return G_SOURCE_CONTINUE; },
		nullptr);

	while (!done() && g_get_monotonic_time() < end_us)
		g_main_context_iteration(nullptr, TRUE);
	g_source_remove(ticks);
	return done();
}

using Fields = std::map<std::string, std::string>;

/* One request of a caller, sent by the constructor. */
struct CallerRequest {
	http_exchange *exchange;
	uint32_t status = 0;
	std::string body;
	std::string retry_after;
	std::string seal;
	bool done = false;
	int error = LP_OK;
	int64_t begun_us = g_get_monotonic_time();
	int64_t took_us = 0;

	CallerRequest(const std::string &address, const char *id,
		      const char *target, const Fields &more = {},
		      const char *body = "")
	{
		static const http_exchange_events events = { on_head, on_body,
							     on_done };
		http_exchange_options options = {};
		http_fields fields;

		http_fields_init(&fields);
		http_fields_add(&fields, "Host", "a.example");
		if (!more.count("X-Attempt-Id"))
			http_fields_add(&fields, "X-Attempt-Id", id);
		if (!more.count("Authorization"))
			http_fields_add(&fields, "Authorization",
					"Bearer key-always");
		for (const auto &field : more)
			http_fields_add(&fields, field.first.c_str(),
					field.second.c_str());
		options.address = address.c_str();
		options.method = "POST";
		options.target = target;
		options.fields = &fields;
		options.body = body;
		options.body_size = strlen(body);
		options.has_body = true;
		options.connect_timeout_us = 1000000;
		options.events = &events;
		options.userdata = this;
		exchange = http_exchange_start(&options);
		http_fields_clear(&fields);
	}
	~CallerRequest()
	{
		if (exchange && !done)
			http_exchange_cancel(exchange);
	}
	static void on_head(void *self, uint32_t status,
			    const http_fields *fields)
	{
		auto *request = static_cast<CallerRequest *>(self);
		const char *after = http_fields_get(fields, "Retry-After");
		const char *seal = http_fields_get(fields, "X-Server-Seal");

		request->status = status;
		request->retry_after = after ? after : "";
		request->seal = seal ? seal : "";
	}
	static void on_body(void *self, const char *bytes, size_t size)
	{
		static_cast<CallerRequest *>(self)->body.append(bytes, size);
	}
	static void on_done(void *self, int error, bool)
	{
		auto *request = static_cast<CallerRequest *>(self);

		request->done = true;
		request->error = error;
		request->took_us = g_get_monotonic_time() - request->begun_us;
	}
	CallerRequest &wait()
	{
		EXPECT_TRUE(run_loop_until([this] { return done; }));
		return *this;
	}
	void cancel()
	{
		http_exchange_cancel(exchange);
		done = true;
	}
};

/* The UDP port on which the entries of a test reach each other. Tests run in
 * parallel: each reserves the number by listening on the same TCP port until it
 * exits. */
inline uint16_t peers_port()
{
	static uint16_t port = 0;

	for (uint16_t at = 21300; !port && at < 21340; at++) {
		GSocketAddress *address =
			g_inet_socket_address_new_from_string("127.0.0.1", at);
		GSocket *lock =
			g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
				     G_SOCKET_PROTOCOL_TCP, nullptr);

		if (g_socket_bind(lock, address, FALSE, nullptr) &&
		    g_socket_listen(lock, nullptr))
			port = at; /* the lock stays open */
		else
			g_object_unref(lock);
		g_object_unref(address);
	}
	return port;
}

/* The emulated platform, and one entry on it. */
struct Rig {
	pe *platform;
	bool owns_platform;
	const lp_clock *clock = lp_clock_boot();
	lp_event_log *log;
	lp_counters *counters = lp_counters_create();
	direct *entry = nullptr;
	direct_peers *peers = nullptr;
	plf_peer_sync *peer_sync = nullptr;
	store_kv *kv = nullptr;
	plf_feed *feed = nullptr;
	plf_quarantine *quarantine = nullptr;
	std::string address;
	int64_t drain_us = 800000;
	/* Calls the key-value service at once when it starts. */
	bool is_bootstrap_reader = true;
	/* Announces the version of its configuration to peers. */
	bool spreads_config = false;
	/* Of entries that are created from now on; 0: the default. */
	static inline int64_t stream_age_max_us = 0;

	/* On a platform that is owned by the caller. */
	explicit Rig(pe *platform) : platform(platform), owns_platform(false)
	{
		start(true);
	}
	/* With this clock for the entry. */
	explicit Rig(const lp_clock *clock, int64_t drain_us = 800000)
	    : platform(pe_create()), owns_platform(true), clock(clock),
	      drain_us(drain_us)
	{
		start(true);
	}
	explicit Rig(bool with_config = true)
	    : platform(pe_create()), owns_platform(true)
	{
		start(with_config);
	}
	/* The entry must learn within `drain_us` that an upstream drains. */
	explicit Rig(int64_t drain_us)
	    : platform(pe_create()), owns_platform(true), drain_us(drain_us)
	{
		start(true);
	}
	/* On a platform that is owned by the caller, without a configuration of
	 * its own. */
	Rig(pe *platform, bool is_bootstrap_reader)
	    : platform(platform), owns_platform(false),
	      is_bootstrap_reader(is_bootstrap_reader)
	{
		start(false);
	}
	/* A further entry on the platform of another rig. */
	explicit Rig(Rig *other)
	    : platform(other->platform), owns_platform(false)
	{
		start(false);
	}
	void start(bool with_config)
	{
		lp_event_options log_options = {};

		log_options.process = "test";
		log_options.clock = clock;
		log_options.fd = -1;
		log = lp_event_log_create(&log_options);
		listen();
		if (with_config)
			set_config(1);
		start_feed();
	}
	~Rig()
	{
		if (entry)
			end();
		if (owns_platform)
			check_platform();
	}
	/* Terminates the entry abruptly, without notice to its peers. */
	void end()
	{
		kv->ops->destroy(kv);
		plf_peer_sync_destroy(peer_sync);
		plf_feed_destroy(feed);
		plf_quarantine_destroy(quarantine);
		direct_destroy(entry);
		direct_peers_destroy(peers);
		lp_counters_destroy(counters);
		lp_event_log_destroy(log);
		entry = nullptr;
	}
	void check_platform()
	{
		const GPtrArray *breaches = pe_breaches(platform);

		for (guint i = 0; i < breaches->len; i++)
			ADD_FAILURE()
				<< (const char *)g_ptr_array_index(breaches, i);
		pe_destroy(platform);
	}
	void listen()
	{
		direct_options options = {};
		int error;

		options.clock = clock;
		options.codec = plf_codec();
		options.log = log;
		options.counters = counters;
		options.domain = "a";
		options.retry_ratio = 0.2;
		options.retry_slack = 20;
		options.retry_budget_is_unused = true;
		options.stream_age_max_us = stream_age_max_us;
		options.blocked = [](void *self, uint64_t content) {
			plf_quarantine_write(
				static_cast<Rig *>(self)->quarantine, content);
		};
		options.restored = [](void *self) {
			auto *rig = static_cast<Rig *>(self);

			if (rig->feed)
				plf_feed_handle_restore(rig->feed);
			plf_quarantine_handle_restore(rig->quarantine);
		};
		options.userdata = this;
		for (int port = 21400; !entry && port < 21900; port++) {
			address = "127.0.0.1:" + std::to_string(port);
			options.address = address.c_str();
			entry = direct_create(&options, &error);
		}
	}
	void start_feed()
	{
		plf_kv_options kv_options = {};
		plf_feed_options options = {};

		kv_options.clock = clock;
		kv_options.log = log;
		kv_options.address = pe_store_address(platform);
		kv_options.counters = counters;
		kv_options.timeout_us = 300000;
		kv_options.wait_us = 500000;
		kv = plf_kv_create(&kv_options);
		options.clock = clock;
		options.log = log;
		options.kv = kv;
		options.counters = counters;
		options.direct = entry;
		options.drain_us = drain_us;
		options.is_bootstrap_reader = is_bootstrap_reader;
		options.get_standing = get_standing;
		options.calls_begin = [](void *self) {
			plf_quarantine_read(
				static_cast<Rig *>(self)->quarantine);
		};
		options.report_watch = report_watch;
		options.config_taken = on_config_taken;
		options.list_read = on_list_read;
		options.userdata = this;
		start_quarantine();
		feed = plf_feed_create(&options);
	}
	/* The glue between feed and peers, as in platform/plf_entry.c. */
	static void get_standing(void *self, store_reader_standing *out)
	{
		auto *rig = static_cast<Rig *>(self);
		GArray *members;

		if (!rig->peers)
			return;
		members = g_array_new(FALSE, FALSE, sizeof(dispatchers_member));
		direct_peers_members(rig->peers, members);
		out->rank = store_reader_rank(
			(const dispatchers_member *)members->data, members->len,
			direct_peers_own_hash(rig->peers));
		out->members = members->len;
		out->is_settled = !direct_peers_discovery_left_us(rig->peers);
		g_array_unref(members);
	}
	static void on_config_taken(void *self, int64_t version,
				    bool is_from_peer)
	{
		auto *rig = static_cast<Rig *>(self);

		if (rig->peers && rig->spreads_config)
			direct_peers_set_config_version(rig->peers, version,
							!is_from_peer);
	}
	static void on_list_read(void *self, const plf_feed_list *list)
	{
		auto *rig = static_cast<Rig *>(self);

		if (!rig->peers)
			return;
		if (list->changes)
			direct_peers_report_list_changes(
				rig->peers, list->previous_hash, list->hash,
				list->age_us, list->changes);
		direct_peers_report_upstream_list(rig->peers, list->hash,
						  list->age_us);
	}
	static void report_watch(void *self)
	{
		auto *rig = static_cast<Rig *>(self);
		store_reader_standing standing = {};
		direct_peers_watch_report report = {};

		if (!rig->peers)
			return;
		get_standing(rig, &standing);
		report.rank = standing.rank;
		report.list_hash =
			plf_feed_list_hash(rig->feed, &report.list_age_us);
		direct_peers_report_watch(rig->peers, &report);
		direct_share_closed_domains(rig->entry);
	}
	void start_quarantine()
	{
		plf_quarantine_options options = {};

		options.clock = clock;
		options.log = log;
		options.kv = kv;
		options.direct = entry;
		quarantine = plf_quarantine_create(&options);
	}
	/* Exchanges lists and configurations with peers, at this IP. */
	void share_with(const char *ip)
	{
		plf_peer_sync_options options = {};
		std::string at = std::string(ip) + ":" +
				 std::to_string(peers_port() + 60);

		options.clock = clock;
		options.log = log;
		options.counters = counters;
		options.direct = entry;
		options.feed = feed;
		options.address = at.c_str();
		peer_sync = plf_peer_sync_create(&options);
		ASSERT_NE(peer_sync, nullptr);
	}
	/* Makes the entry a peer of the entries at these IPs. */
	void join(const char *ip, uint32_t capacity,
		  std::vector<std::string> others, int64_t slow_start_us = 0)
	{
		direct_peers_options options = {};
		std::vector<char *> seeds;

		for (auto &other : others)
			seeds.push_back(other.data());
		seeds.push_back(nullptr);
		options.clock = clock;
		options.log = log;
		options.counters = counters;
		options.ip = ip;
		options.capacity = capacity;
		options.slow_start_us = slow_start_us;
		options.port = peers_port();
		options.seeds = seeds.data();
		options.on_unreachable = [](void *, uint64_t, int64_t) {};
		options.on_upstream_list = [](void *self, const char *from,
					      uint64_t hash, int64_t age_us) {
			plf_peer_sync_handle_list_hash(
				static_cast<Rig *>(self)->peer_sync, from, hash,
				age_us);
		};
		options.on_list_changes = [](void *self, uint64_t previous_hash,
					     uint64_t hash, int64_t age_us,
					     const char *changes) {
			const plf_feed_list list = { hash, age_us,
						     previous_hash, changes };

			plf_feed_offer_list_changes(
				static_cast<Rig *>(self)->feed, &list);
		};
		options.userdata = this;
		options.on_config_version = [](void *self, const char *from,
					       int64_t version) {
			auto *rig = static_cast<Rig *>(self);

			if (rig->spreads_config)
				plf_peer_sync_handle_version(rig->peer_sync,
							     from, version);
		};
		options.on_watch_report = [](void *self, uint64_t peer,
					     uint32_t rank, int64_t version,
					     int64_t age_us) {
			plf_feed_handle_watch_report(
				static_cast<Rig *>(self)->feed, peer, rank,
				version, age_us);
		};
		share_with(ip);
		peers = direct_peers_create(&options);
		ASSERT_NE(peers, nullptr);
		direct_set_peers(entry, peers);
	}
	void set_config(int64_t version)
	{
		char *json = pe_sample_config(version);

		pe_set_config(platform, json);
		g_free(json);
	}
	pe_upstream *add(pe_kind kind, const char *service)
	{
		return pe_add(platform, kind, service, "a");
	}
	/* Waits until the entry has the configuration and has read the list of
	 * upstreams twice more. */
	void settle(int64_t version = 1)
	{
		bool ready = run_loop_until([&] {
			return direct_ready(entry) &&
			       direct_config_version(entry) >= version;
		});
		int64_t reads = *range_calls();

		EXPECT_TRUE(ready);
		run_loop_until([&] { return *range_calls() >= reads + 2; },
			       3000);
	}
	/* Counter of the entry's reads of the key-value service. */
	int64_t *range_calls()
	{
		return lp_counter(counters, "linepier_kv_calls_total",
				  "purpose=\"range\"");
	}
};

inline const char complete_stream[] =
	"id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\n"
	"id: 3\ndata: token 3\n\nid: 4\ndata: token 4\n\n"
	"id: 5\ndata: token 5\n\nid: 6\ndata: token 6\n\n";

/* Sends a request with stages under this id and returns the body of its answer.
 */
inline std::string request_staged(const Rig &rig, const std::string &id)
{
	return CallerRequest(rig.address, id.c_str(), "/staged/x",
			     Fields{ { "X-Pieces", "3,2" },
				     { "X-Piece-Key", "k" + id } })
		.wait()
		.body;
}

#endif
