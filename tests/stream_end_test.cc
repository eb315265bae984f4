/*
 * Streams that end with their connection, having neither a length nor chunks,
 * and streams that end inside an event.
 */
#include "direct_rig.h"

namespace
{

const char two_events[] = "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\n";

/* `early`: after two events; `in_event`: inside the third. */
pe_stream_end end_of(bool unframed, bool early, bool in_event)
{
	pe_stream_end how = {};

	how.unframed = unframed;
	how.early = early;
	how.events = 2;
	how.in_event = in_event;
	return how;
}

struct EndRig : Rig {
	pe_upstream *engine = add(PE_ENGINE, "engine");

	explicit EndRig(const pe_stream_end &how)
	{
		pe_set_stream_end(engine, &how);
		settle();
	}
};

/* Guards against a stream that is cut or garbled as its framing is passed on.
 */
TEST(StreamEnd, UnframedStreamIsPassedOnWhole)
{
	EndRig rig(end_of(true, false, false));

	for (const char *target : { "/once/x", "/again/x" }) {
		CallerRequest request(rig.address, "a", target);

		EXPECT_EQ(request.wait().body, complete_stream);
		EXPECT_EQ(request.error, LP_OK);
	}
}

/* Guards against a stream that ends inside an event and is passed on as
 * complete, whatever its framing. */
TEST(StreamEnd, StreamThatEndsInsideAnEventIsAborted)
{
	for (bool unframed : { true, false }) {
		EndRig rig(end_of(unframed, true, true));
		CallerRequest request(rig.address, "a", "/once/x");

		EXPECT_EQ(request.wait().body, two_events) << unframed;
		EXPECT_NE(request.error, LP_OK) << unframed;
	}
}

/* The engine that has no part in the stream becomes sound once it has begun. */
TEST(StreamEnd, StreamThatEndsInsideAnEventIsResumed)
{
	for (bool unframed : { true, false }) {
		const pe_stream_end whole = {};
		const pe_stream_end early = end_of(unframed, true, true);
		EndRig rig(early);
		pe_upstream *other = rig.add(PE_ENGINE, "engine");

		pe_set_stream_end(other, &early);
		rig.settle();
		CallerRequest request(rig.address, "a", "/again/x");

		ASSERT_TRUE(
			run_loop_until([&] { return !request.body.empty(); }));
		pe_set_stream_end(pe_arrivals(other) ? rig.engine : other,
				  &whole);
		EXPECT_EQ(request.wait().body, complete_stream) << unframed;
		EXPECT_EQ(request.error, LP_OK) << unframed;
		EXPECT_EQ(pe_arrivals(rig.engine) + pe_arrivals(other), 2u);
	}
}

/* Guards against an emulated stream whose framing follows a later setting: its
 * caller gets the last chunk as text. */
TEST(StreamEnd, FramingOfAStreamThatHasBegunStays)
{
	EndRig rig(end_of(true, false, false));
	const pe_stream_end framed = {};
	CallerRequest request(rig.address, "a", "/once/x");

	ASSERT_TRUE(run_loop_until([&] { return !request.body.empty(); }));
	pe_set_stream_end(rig.engine, &framed);
	EXPECT_EQ(request.wait().body, complete_stream);
	EXPECT_EQ(request.error, LP_OK);
}

/* Guards against an unframed stream without any event that is taken for a
 * complete one. */
TEST(StreamEnd, UnframedStreamWithoutEventsIsBroken)
{
	pe_stream_end how = end_of(true, true, false);

	how.events = 0;
	EndRig rig(how);
	CallerRequest request(rig.address, "a", "/once/x");

	EXPECT_EQ(request.wait().status, 502u);
	rig.add(PE_ENGINE, "engine");
	rig.settle();
	for (int i = 0; i < 4; i++) {
		std::string id = "b" + std::to_string(i);

		EXPECT_EQ(CallerRequest(rig.address, id.c_str(), "/again/x")
				  .wait()
				  .body,
			  complete_stream);
	}
}

/* Guards against events of a stream with CR LF that are held back to its end.
 */
TEST(StreamEnd, EventsMayHaveEitherLineEnd)
{
	const std::string event = "id: 7\r\ndata: a\r\n\r\n";
	const std::string text = event + "id: 8\r\ndata: b\r\n";
	direct_event_stream stream = {};
	char *last_id = nullptr;

	EXPECT_EQ(direct_event_stream_complete_size(&stream, text.data(),
						    text.size(), &last_id),
		  event.size());
	EXPECT_STREQ(last_id, "7");
	g_free(last_id);
}

} // namespace
