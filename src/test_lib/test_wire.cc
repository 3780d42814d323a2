#include <gtest/gtest.h>
#include <glib.h>
#include <string>
#include <vector>

#include "baobabward/wire.h"

static struct bb_bytes bytes(const char *s)
{
	return { s, strlen(s) };
}

// A message of the given type with all fields set and lists of two elements.
struct Sample {
	struct bb_header headers[2] = {
		{ bytes("Accept"), bytes("*/*") },
		{ bytes("X"), { nullptr, 0 } },
	};
	uint32_t groups[2] = { 0, UINT32_MAX };
	struct bb_lease_grant leases[2] = { { 1, 8000, 15, true },
					    { 2, 0, 15, false } };
	struct bb_draw draws[2] = { { bytes("a"), 1, 2, 3, 9000 },
				    { bytes("b"), 4, 5, 6, 7 } };
	struct bb_draw_grant grants[2] = { { 1, 10000, 0 }, { 0, 0, 70 } };
	struct bb_outcome outcome = { BB_VERDICT_RAN, 201, bytes("text/plain"),
				      bytes("ok") };
	struct bb_summary_item summaries[2] = {
		{ bytes("b"), 1, 64, 10, 2000, 300, 5000 },
		{ bytes("c"), 4, 0, 0, 0, 0, 0 }
	};
	struct bb_registry_item items[2] = {
		{ bytes("servers/1"), bytes("{}"), 7, false },
		{ bytes("servers/2"), { nullptr, 0 }, 8, true }
	};
	struct bb_backend_report reports[2] = {
		{ bytes("b"), UINT64_MAX, { 1, 2, 3, 4, INT64_MAX, 1500 } },
		{ bytes("c"), 0, {} }
	};
	struct bb_record_entry entries[2] = {};
	struct bb_digest_section sections[2] = {
		{ 7, 8, bytes("\x05\x80"), bytes("\x01\x02\xff"),
		  bytes("\x04") },
		{ 6, 0, { nullptr, 0 }, { nullptr, 0 }, { nullptr, 0 } },
	};
	struct bb_message m = {};

	explicit Sample(int type)
	{
		m.type = (enum bb_message_type)type;
		for (auto &e : entries) {
			memset(e.key_hash, 9, sizeof(e.key_hash));
			e.fingerprint = UINT64_MAX;
			e.state = BB_RECORD_DONE;
			e.outcome = outcome;
		}
		set_fields();
		set_remaining_fields();
	}

	void set_fields()
	{
		struct bb_request_id id = { 1, UINT64_MAX };

		switch (m.type) {
		case BB_MESSAGE_WELCOME:
			m.welcome = { 1, 2, 3, -5, reports, 2 };
			break;
		case BB_MESSAGE_EXECUTE:
			m.execute = { id,
				      4,
				      INT64_MAX,
				      5,
				      true,
				      true,
				      true,
				      6500,
				      INT64_MAX,
				      bytes("backend"),
				      bytes("account"),
				      bytes("route"),
				      bytes("GET"),
				      bytes("/x?y"),
				      bytes("00-1-2-01"),
				      headers,
				      2,
				      bytes("body") };
			break;
		case BB_MESSAGE_RESULT:
			m.result = { id,
				     4,
				     BB_VERDICT_MAY_HAVE_RUN,
				     BB_REASON_INTERNAL,
				     599,
				     { 1, 2, 3, INT64_MIN, INT64_MAX, 1500 },
				     840000,
				     headers,
				     2,
				     bytes("body") };
			break;
		case BB_MESSAGE_CANCEL:
			m.cancel = { id, 8, 9000 };
			break;
		case BB_MESSAGE_DIGEST_REQUEST:
			m.digest_request = { 1, 2, 3, BB_LIST_MAX };
			break;
		case BB_MESSAGE_DIGEST:
			m.digest = { 1, 7, 3, 4, true, sections, 2, 9 };
			break;
		case BB_MESSAGE_PAGE:
			m.page = { 1, bytes("hosts"), bytes("{}"),
				   bytes("signature") };
			break;
		default:
			// Messages of three numbers; the others follow.
			m.hello = { 1, UINT64_MAX, 3 };
		}
	}

	void set_remaining_fields()
	{
		struct bb_request_id id = { 1, 2 };

		switch (m.type) {
		case BB_MESSAGE_PAGE_REQUEST:
			m.page_request = { 1, bytes("hosts") };
			break;
		case BB_MESSAGE_LEASE_REQUEST:
			m.lease_request = { 1, 2, 3, groups, 2 };
			break;
		case BB_MESSAGE_LEASE_GRANT:
			m.lease_grant = { 1, 2, 3, leases, 2 };
			break;
		case BB_MESSAGE_LEASE_RELEASE:
			m.lease_release = { 1, 5, groups, 2 };
			break;
		case BB_MESSAGE_DRAW:
			m.draw = { 1, 2, draws, 2 };
			break;
		case BB_MESSAGE_DRAW_GRANT:
			m.draw_grant = { 1, 2, grants, 2 };
			break;
		case BB_MESSAGE_PERMIT_REQUEST:
			m.permit_request = { 1, 2, bytes("s"), bytes("b"),
					     true };
			break;
		case BB_MESSAGE_PERMIT_GRANT:
			m.permit_grant = { 1, 2, bytes("s"), bytes("b"), 9 };
			break;
		case BB_MESSAGE_RECORD:
			m.record = { 1,	 id, BB_RECORD_LOOKUP, 511, 7, 2000,
				     {}, 3,  outcome };
			break;
		case BB_MESSAGE_RECORD_REPLY:
			m.record_reply = { 1, id, BB_RECORD_ABSENT, outcome };
			break;
		case BB_MESSAGE_SUMMARY_REQUEST:
			m.summary_request = { bytes("b") };
			break;
		case BB_MESSAGE_SUMMARY:
			m.summary = { summaries, 2 };
			break;
		case BB_MESSAGE_REGISTRY_READ:
			m.registry_read = { 1, -1, UINT64_MAX, 750 };
			break;
		case BB_MESSAGE_REGISTRY_CHANGES:
			m.registry_changes = { 1,  BB_REGISTRY_HISTORY,
					       3,  UINT64_MAX,
					       40, items,
					       2 };
			break;
		case BB_MESSAGE_BACKEND_REPORTS:
			m.backend_reports = { 1, INT64_MIN, reports, 2 };
			break;
		case BB_MESSAGE_EXECUTE_LARGE:
			m.execute_large.execute =
				Sample(BB_MESSAGE_EXECUTE).m.execute;
			m.execute_large.execute.headers = headers;
			m.execute_large.execute.body = {};
			m.execute_large.body_bytes = BB_REQUEST_BODY_MAX;
			break;
		case BB_MESSAGE_BODY_READ:
			m.body_read = { id, 4, BB_REQUEST_BODY_MAX,
					BB_BODY_PART_MAX };
			break;
		case BB_MESSAGE_BODY_PART:
			m.body_part = { id, 4, BB_REQUEST_BODY_MAX,
					bytes("part") };
			break;
		case BB_MESSAGE_RECORD_TRANSFER:
			m.record_transfer = {
				1,    BB_TRANSFER_PART, 9, 2, 4, 3,
				true, entries,		2
			};
			break;
		default:
			break;
		}
	}
};

static std::string encode(const struct bb_message *m)
{
	struct bb_error err = {};
	size_t size = 0;
	char *data = bb_wire_encode(m, &size, &err);

	EXPECT_NE(nullptr, data) << err.message;
	std::string s = data ? std::string(data, size) : "";
	free(data);
	return s;
}

// Decodes a copy of exactly the message's size, so that the address sanitizer
// detects reads past its end.
static struct bb_decoded_message *decode(const std::string &s,
					 std::vector<char> *copy)
{
	copy->assign(s.begin(), s.end());
	copy->shrink_to_fit();
	return bb_wire_decode(copy->data(), copy->size(), nullptr);
}

// Guards against a field that encoder and decoder lose, swap or truncate.
TEST(Wire, RoundTripOfEveryType)
{
	for (int i = 0; i < BB_MESSAGE_TYPE_COUNT; i++) {
		Sample sample(i);
		std::string s = encode(&sample.m);
		std::vector<char> copy;
		struct bb_decoded_message *d = decode(s, &copy);

		ASSERT_NE(nullptr, d) << bb_message_type_string[i];
		EXPECT_EQ(i, (int)bb_decoded_message_get(d)->type);
		EXPECT_EQ(s, encode(bb_decoded_message_get(d)));
		bb_decoded_message_delete(d);
	}
}

// Guards against a fault that encoder and decoder share, which a round trip
// does not show: compares the decoded values.
TEST(Wire, DecodedValuesOfExecuteAndResult)
{
	Sample execute(BB_MESSAGE_EXECUTE), result(BB_MESSAGE_RESULT);
	std::vector<char> copy;
	struct bb_decoded_message *d = decode(encode(&execute.m), &copy);
	const struct bb_message_execute *e =
		&bb_decoded_message_get(d)->execute;

	EXPECT_EQ(UINT64_MAX, e->id.sequence);
	EXPECT_EQ(INT64_MAX, e->not_after_us);
	EXPECT_TRUE(e->idempotent);
	EXPECT_TRUE(e->last_resort);
	EXPECT_TRUE(e->may_wait);
	EXPECT_EQ(INT64_MAX, e->cost_us);
	EXPECT_EQ("account", std::string(e->account.data, e->account.size));
	ASSERT_EQ(2u, e->headers_nr);
	EXPECT_EQ("*/*", std::string(e->headers[0].value.data,
				     e->headers[0].value.size));
	EXPECT_EQ("body", std::string(e->body.data, e->body.size));
	bb_decoded_message_delete(d);

	d = decode(encode(&result.m), &copy);
	const struct bb_message_result *r = &bb_decoded_message_get(d)->result;

	EXPECT_EQ(BB_VERDICT_MAY_HAVE_RUN, r->verdict);
	EXPECT_EQ(BB_REASON_INTERNAL, r->reason);
	EXPECT_EQ(599u, r->status);
	EXPECT_EQ(INT64_MIN, r->load.avoid_for_us);
	EXPECT_EQ(INT64_MAX, r->load.work_us);
	EXPECT_EQ(1500u, r->load.speed_permille);
	EXPECT_EQ(840000, r->service_us);
	bb_decoded_message_delete(d);
}

// Guards against a request whose body is taken for empty, or of another size than
// the receiver has to read.
TEST(Wire, LargeRequestAnnouncesItsBody)
{
	Sample sample(BB_MESSAGE_EXECUTE_LARGE);
	std::vector<char> copy;
	struct bb_decoded_message *d = decode(encode(&sample.m), &copy);
	struct bb_message_execute_large *x = &sample.m.execute_large;
	size_t size;

	ASSERT_NE(nullptr, d);
	EXPECT_EQ(BB_REQUEST_BODY_MAX,
		  bb_decoded_message_get(d)->execute_large.body_bytes);
	EXPECT_EQ(2u,
		  bb_decoded_message_get(d)->execute_large.execute.headers_nr);
	bb_decoded_message_delete(d);
	for (uint32_t bytes : { 0u, BB_BODY_MAX, BB_REQUEST_BODY_MAX + 1 }) {
		x->body_bytes = bytes;
		EXPECT_EQ(nullptr, bb_wire_encode(&sample.m, &size, nullptr));
	}
	x->body_bytes = BB_BODY_MAX + 1;
	x->execute.body = bytes("body");
	EXPECT_EQ(nullptr, bb_wire_encode(&sample.m, &size, nullptr));
}

// Guards against a report that loses the start or the load of its backend
// server: an entry node would apply it to another process.
TEST(Wire, DecodedValuesOfReports)
{
	Sample sample(BB_MESSAGE_BACKEND_REPORTS);
	std::vector<char> copy;
	struct bb_decoded_message *d = decode(encode(&sample.m), &copy);
	const struct bb_message_backend_reports *m =
		&bb_decoded_message_get(d)->backend_reports;

	EXPECT_EQ(INT64_MIN, m->clock_us);
	ASSERT_EQ(2u, m->reports_nr);
	EXPECT_EQ(UINT64_MAX, m->reports[0].started_ms);
	EXPECT_EQ(4, m->reports[0].load.avoid_for_us);
	EXPECT_EQ(1500u, m->reports[0].load.speed_permille);
	EXPECT_EQ("c", std::string(m->reports[1].backend.data,
				   m->reports[1].backend.size));
	bb_decoded_message_delete(d);
}

// Guards against accepting a truncated message, or one with an extra byte.
TEST(Wire, EveryTruncationIsRefused)
{
	for (int i = 0; i < BB_MESSAGE_TYPE_COUNT; i++) {
		Sample sample(i);
		std::string s = encode(&sample.m);
		std::vector<char> copy;

		for (size_t n = 0; n < s.size(); n++)
			EXPECT_EQ(nullptr, decode(s.substr(0, n), &copy));
		EXPECT_EQ(nullptr, decode(s + std::string(1, '\0'), &copy));
	}
}

// Guards against reads out of bounds, and against the decoder accepting a
// message that the encoder refuses.
TEST(Wire, MutationsNeverCrash)
{
	GRand *rand = g_rand_new_with_seed(11);

	for (int round = 0; round < 20000; round++) {
		Sample sample(round % BB_MESSAGE_TYPE_COUNT);
		std::string s = encode(&sample.m);
		std::vector<char> copy;

		s[g_rand_int_range(rand, 0, (gint32)s.size())] =
			(char)g_rand_int(rand);
		struct bb_decoded_message *d = decode(s, &copy);

		if (d) {
			encode(bb_decoded_message_get(d));
			bb_decoded_message_delete(d);
		}
	}
	g_rand_free(rand);
}

// Guards against allocating memory by the length that an array announces, and
// against deep nesting that exhausts the stack.
TEST(Wire, HugeArrayAndDeepNestingAreRefused)
{
	std::vector<char> copy;

	EXPECT_EQ(nullptr,
		  decode(std::string("\xdd\xff\xff\xff\xff", 5), &copy));
	EXPECT_EQ(nullptr, decode(std::string("\x95\x01\x00\xdd\x10\x00\x00"
					      "\x00\x01\x02",
					      10),
				  &copy));
	EXPECT_EQ(nullptr, decode(std::string(100000, '\x91'), &copy));
}

// Guards against values over the limits of the protocol, when encoding and when
// decoding.
TEST(Wire, LimitsHoldOnBothSides)
{
	std::string name(BB_NAME_MAX + 1, 'n');
	std::vector<char> copy;
	Sample page(BB_MESSAGE_PAGE_REQUEST);
	Sample result(BB_MESSAGE_RESULT), digest(BB_MESSAGE_DIGEST);
	struct bb_error err = {};
	size_t size;

	page.m.page_request.name = { name.data(), name.size() };
	EXPECT_EQ(nullptr, bb_wire_encode(&page.m, &size, &err));
	EXPECT_EQ(BB_ERROR_INVALID, err.code);
	result.m.result.headers_nr = BB_HEADERS_MAX + 1;
	EXPECT_EQ(nullptr, bb_wire_encode(&result.m, &size, nullptr));
	result.m.result.headers_nr = 0;
	result.m.result.status = 1000;
	EXPECT_EQ(nullptr, bb_wire_encode(&result.m, &size, nullptr));
	// One age too many, and a stopping seat without evidence.
	digest.sections[0].ages = bytes("1234");
	EXPECT_EQ(nullptr, bb_wire_encode(&digest.m, &size, nullptr));
	digest.sections[0].ages = bytes("123");
	digest.sections[0].stopping = bytes("\x02");
	EXPECT_EQ(nullptr, bb_wire_encode(&digest.m, &size, nullptr));

	Sample cancel(BB_MESSAGE_CANCEL);
	std::string s = encode(&cancel.m);

	// Protocol version 2, unknown type, and one field too few.
	for (std::string bad : { s.substr(0, 1) + "\x02" + s.substr(2),
				 s.substr(0, 2) + "\x7f" + s.substr(3),
				 "\x93" + s.substr(1, s.size() - 2) })
		EXPECT_EQ(nullptr, decode(bad, &copy));
}
