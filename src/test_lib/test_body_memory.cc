// Accounting of the memory of bodies, on a driven clock and without a network.
#include <gtest/gtest.h>
#include <deque>
#include <vector>

#include "baobabward/body_memory.h"

namespace
{
constexpr uint64_t KB = 1024;
constexpr uint64_t MB = 1024 * KB;
constexpr int64_t STALL_US = 1000000;

class BodyMemory : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		struct bb_body_memory_options o = {};

		o.limit = 32 * MB;
		o.stall_us = STALL_US;
		o.give_way = [](void *data, struct bb_body_claim *c) {
			static_cast<BodyMemory *>(data)->gone_.push_back(c);
		};
		o.has_input = [](void *data, struct bb_body_claim *c) {
			return static_cast<BodyMemory *>(data)->unread_ == c;
		};
		o.data = this;
		memory_ = bb_body_memory_new(&o);
	}

	void TearDown() override
	{
		for (struct bb_body_claim &c : claims_)
			bb_body_claim_end(memory_, &c);
		EXPECT_EQ(0u, total());
		bb_body_memory_delete(memory_);
	}

	struct bb_body_claim *begin(enum bb_body_stage stage, uint64_t account,
				    uint64_t address)
	{
		claims_.emplace_back();
		bb_body_claim_begin(memory_, &claims_.back(), stage, account,
				    address, now_us_);
		return &claims_.back();
	}

	bool resize(struct bb_body_claim *c, uint64_t bytes)
	{
		return bb_body_claim_resize(memory_, c, bytes, now_us_);
	}

	void move(struct bb_body_claim *c, uint64_t bytes)
	{
		bb_body_claim_moved(memory_, c, bytes, now_us_);
	}

	// A body that is being received, or NULL if it is refused.
	struct bb_body_claim *receive(uint64_t bytes, uint64_t account = 0,
				      uint64_t address = 0)
	{
		struct bb_body_claim *c =
			begin(BB_BODY_RECEIVED, account, address);

		if (!resize(c, bytes)) {
			bb_body_claim_end(memory_, c);
			return nullptr;
		}
		move(c, 0);
		return c;
	}

	unsigned int receive_all(unsigned int nr, uint64_t bytes,
				 uint64_t account = 0, uint64_t address = 0)
	{
		unsigned int admitted = 0;

		for (unsigned int i = 0; i < nr; i++)
			admitted += receive(bytes, account, address) != nullptr;
		return admitted;
	}

	struct bb_body_memory_use use()
	{
		struct bb_body_memory_use u;

		bb_body_memory_use(memory_, &u);
		return u;
	}

	uint64_t total()
	{
		struct bb_body_memory_use u = use();

		return u.stages[BB_BODY_RECEIVED] +
		       u.stages[BB_BODY_FORWARDED] + u.stages[BB_BODY_RESPONSE];
	}

	struct bb_body_memory *memory_;
	std::deque<struct bb_body_claim> claims_;
	std::vector<struct bb_body_claim *> gone_;
	struct bb_body_claim *unread_ = nullptr;
	int64_t now_us_ = 5000000;
};
} // namespace

// Guards against one account, or one client address, that takes all of the memory
// with bodies that count as small.
TEST_F(BodyMemory, SmallBodiesOfOneCallerLeaveRoom)
{
	struct {
		uint64_t account, address;
	} crowds[] = { { 1, 0 }, { 0, 2 } };
	std::vector<struct bb_body_claim *> crowd;

	for (auto &x : crowds) {
		for (int i = 0; i < 3000; i++) {
			struct bb_body_claim *c =
				receive(16 * KB, x.account, x.address);

			if (c)
				crowd.push_back(c);
		}
		EXPECT_LE(crowd.size() * 16 * KB, 12 * MB);
		EXPECT_GE(crowd.size() * 16 * KB, 11 * MB);
		EXPECT_NE(nullptr, receive(1 * KB, 7, 8));
		for (struct bb_body_claim *c : crowd)
			bb_body_claim_end(memory_, c);
		crowd.clear();
	}
}

// Guards against a crowd of large bodies that takes more than its part, and
// against bookings of 1 KB that are refused while it stays.
TEST_F(BodyMemory, CrowdLeavesRoomForSmallRequests)
{
	EXPECT_EQ(16u, receive_all(400, MB));
	EXPECT_EQ(16 * MB, total());
	EXPECT_EQ(400u, receive_all(400, KB));
	EXPECT_TRUE(gone_.empty());
}

// Guards against bodies that stop short of their end and keep others out.
TEST_F(BodyMemory, StalledBodiesGiveWayToOthers)
{
	struct bb_body_claim *first = receive(8 * MB);
	struct bb_body_claim *second = receive(7 * MB);

	ASSERT_TRUE(first && second);
	now_us_ += STALL_US - 1;
	EXPECT_FALSE(receive(4 * MB));
	move(second, BB_BODY_PROGRESS_BYTES);
	now_us_++;
	ASSERT_TRUE(receive(4 * MB));
	ASSERT_EQ(1u, gone_.size());
	EXPECT_EQ(first, gone_[0]);
	EXPECT_FALSE(bb_body_claim_pin(memory_, first));
	EXPECT_TRUE(bb_body_claim_pin(memory_, second));
	EXPECT_EQ(11 * MB, total());
	EXPECT_EQ(1u, use().gave_way);
}

// Guards against a body whose memory is freed while its thread uses it, or that
// is dropped although the request is complete.
TEST_F(BodyMemory, PinnedBodiesStay)
{
	struct bb_body_claim *c = receive(15 * MB);

	EXPECT_TRUE(bb_body_claim_pin(memory_, c));
	now_us_ += 10 * STALL_US;
	EXPECT_FALSE(receive(4 * MB));
	move(c, BB_BODY_PROGRESS_BYTES);
	EXPECT_FALSE(receive(4 * MB));
	now_us_ += STALL_US;
	EXPECT_TRUE(receive(4 * MB));
}

// Guards against a body that is dropped because this process was paused and has
// not read what its caller has sent.
TEST_F(BodyMemory, UnreadBodyStays)
{
	struct bb_body_claim *first = receive(8 * MB);
	struct bb_body_claim *second = receive(7 * MB);

	now_us_ += STALL_US;
	unread_ = first;
	EXPECT_TRUE(receive(4 * MB));
	ASSERT_EQ(1u, gone_.size());
	EXPECT_EQ(second, gone_[0]);
}

// Guards against callers that keep memory by a few bytes now and then.
TEST_F(BodyMemory, TricklingBodyCountsAsStalled)
{
	struct bb_body_claim *slow = receive(15 * MB);

	for (int i = 0; i < 20; i++) {
		now_us_ += STALL_US / 10;
		EXPECT_TRUE(bb_body_claim_pin(memory_, slow));
		move(slow, 8);
	}
	EXPECT_TRUE(receive(4 * MB));
	ASSERT_EQ(1u, gone_.size());
	EXPECT_EQ(slow, gone_[0]);
}

// Guards against bodies that are dropped although the new one does not fit then
// either.
TEST_F(BodyMemory, NoneGivesWayInVain)
{
	struct bb_body_claim *moving = receive(12 * MB);

	receive(3 * MB);
	now_us_ += STALL_US;
	move(moving, BB_BODY_PROGRESS_BYTES);
	EXPECT_FALSE(receive(8 * MB));
	EXPECT_TRUE(gone_.empty());
}

// Guards against one account, or one client address, that holds all memory.
TEST_F(BodyMemory, SharesOfAccountAndAddress)
{
	EXPECT_EQ(12u, receive_all(100, MB, 1, 1));
	EXPECT_EQ(0u, receive_all(10, MB, 1, 2));
	EXPECT_EQ(0u, receive_all(10, MB, 2, 1));
	EXPECT_EQ(4u, receive_all(10, MB, 2, 2));
}

// Guards against stalled bodies of others that are dropped for an account that
// has reached its own share.
TEST_F(BodyMemory, ShareIsMadeFromTheSameAccount)
{
	struct bb_body_claim *other = receive(MB, 2);

	EXPECT_EQ(12u, receive_all(12, MB, 1));
	now_us_ += STALL_US;
	EXPECT_TRUE(receive(MB, 1));
	ASSERT_EQ(1u, gone_.size());
	EXPECT_NE(other, gone_[0]);
}

// Guards against a limit below a single legal request: one is served in calm, at
// its entry node and beside the backend server.
TEST_F(BodyMemory, SingleRequestIsAlwaysAdmitted)
{
	struct bb_body_claim *c = receive(40 * MB, 1, 1);
	struct bb_body_claim *forwarded = begin(BB_BODY_FORWARDED, 0, 0);

	ASSERT_TRUE(c);
	EXPECT_TRUE(resize(c, 41 * MB));
	EXPECT_FALSE(receive(MB));
	EXPECT_TRUE(receive(KB));
	bb_body_claim_end(memory_, c);
	EXPECT_TRUE(resize(forwarded, 41 * MB));
	EXPECT_FALSE(receive(MB));
	EXPECT_TRUE(receive(KB));
}

// Guards against a node that takes a body over the limit from a caller and another
// one from a node, which together do not fit into a small machine.
TEST_F(BodyMemory, OneBodyOverTheLimitAtATime)
{
	struct bb_body_claim *received = receive(40 * MB);
	struct bb_body_claim *forwarded = begin(BB_BODY_FORWARDED, 0, 0);
	struct bb_body_claim *response = begin(BB_BODY_RESPONSE, 0, 0);

	ASSERT_TRUE(received);
	EXPECT_FALSE(resize(forwarded, 40 * MB));
	EXPECT_TRUE(resize(response, MB));
	bb_body_claim_end(memory_, received);
	EXPECT_TRUE(resize(forwarded, 40 * MB));
	EXPECT_FALSE(receive(40 * MB));
	bb_body_claim_end(memory_, forwarded);
	EXPECT_TRUE(receive(40 * MB));
}

// Guards against copies that find no room because received bodies took all of
// it, and against other nodes' requests that take all of it.
TEST_F(BodyMemory, CopiesHaveRoom)
{
	unsigned int forwarded = 0;

	EXPECT_EQ(16u, receive_all(100, MB));
	for (int i = 0; i < 100; i++)
		forwarded += resize(begin(BB_BODY_FORWARDED, 0, 0), MB);
	EXPECT_EQ(12u, forwarded);
	EXPECT_EQ(100u, receive_all(100, KB));
}

// Guards against a refused response, since its request has run, and against
// responses to callers that do not read.
TEST_F(BodyMemory, ResponsesCountAndGiveWay)
{
	std::vector<struct bb_body_claim *> responses;

	for (int i = 0; i < 40; i++) {
		struct bb_body_claim *c = begin(BB_BODY_RESPONSE, 0, 0);

		EXPECT_TRUE(resize(c, MB));
		move(c, 0);
		responses.push_back(c);
	}
	EXPECT_EQ(40 * MB, total());
	receive(MB);
	EXPECT_FALSE(receive(MB));
	EXPECT_TRUE(receive(KB));
	now_us_ += STALL_US;
	EXPECT_TRUE(resize(begin(BB_BODY_RESPONSE, 0, 0), MB));
	EXPECT_GE(32 * MB, total());
	EXPECT_FALSE(gone_.empty());
	for (struct bb_body_claim *c : gone_)
		EXPECT_TRUE(c->stage == BB_BODY_RESPONSE ||
			    c->stage == BB_BODY_RECEIVED);
}

// Guards against large responses without end to callers that do not read, and
// against a refusal of one that is small or alone.
TEST_F(BodyMemory, LargeResponsesAreBounded)
{
	struct bb_body_claim *alone = begin(BB_BODY_RESPONSE, 0, 0);
	unsigned int admitted = 0;

	receive(15 * MB);
	EXPECT_TRUE(resize(begin(BB_BODY_RESPONSE, 0, 0), 16 * KB));
	EXPECT_TRUE(resize(alone, 64 * MB));
	EXPECT_FALSE(resize(begin(BB_BODY_RESPONSE, 0, 0), 17 * KB));
	EXPECT_TRUE(resize(begin(BB_BODY_RESPONSE, 0, 0), 16 * KB));
	bb_body_claim_end(memory_, alone);
	for (int i = 0; i < 200; i++) {
		struct bb_body_claim *c = begin(BB_BODY_RESPONSE, 0, 0);

		if (resize(c, MB))
			admitted++;
		move(c, 0);
		EXPECT_TRUE(resize(begin(BB_BODY_RESPONSE, 0, 0), KB));
	}
	EXPECT_EQ(24u, admitted);
	EXPECT_GE(40 * MB, total());
	now_us_ += STALL_US;
	EXPECT_TRUE(resize(begin(BB_BODY_RESPONSE, 0, 0), MB));
}

// Guards against small bodies without end that use up the part of small ones.
TEST_F(BodyMemory, SmallStalledBodiesGiveWay)
{
	EXPECT_EQ(2048u, receive_all(3000, 16 * KB));
	EXPECT_FALSE(receive(KB));
	now_us_ += STALL_US;
	EXPECT_TRUE(receive(KB));
	EXPECT_EQ(1u, gone_.size());
}

// Guards against a stalled claim that is not reported, also if it is empty, or
// more often than once in the time of a stall, and against a report of one whose
// thread uses it.
TEST(BodyMemoryTick, ReportsStalledClaims)
{
	struct bb_body_memory_options o = {};
	std::vector<struct bb_body_claim *> seen;
	std::deque<struct bb_body_claim> claims(100);
	struct bb_body_memory *m;
	int64_t now_us = 5000000;

	o.limit = 32 * MB;
	o.stall_us = STALL_US;
	o.stalled = [](void *data, struct bb_body_claim *c) {
		static_cast<decltype(seen) *>(data)->push_back(c);
	};
	o.data = &seen;
	m = bb_body_memory_new(&o);
	for (struct bb_body_claim &c : claims) {
		bb_body_claim_begin(m, &c, BB_BODY_RECEIVED, 0, 0, now_us);
		bb_body_claim_moved(m, &c, 0, now_us);
	}
	bb_body_claim_pin(m, &claims[0]);
	bb_body_memory_tick(m, now_us + STALL_US - 1);
	EXPECT_EQ(0u, seen.size());
	bb_body_memory_tick(m, now_us + STALL_US);
	EXPECT_EQ((size_t)BB_BODY_TICK_MAX, seen.size());
	bb_body_memory_tick(m, now_us + STALL_US + 1);
	bb_body_memory_tick(m, now_us + STALL_US + 2);
	EXPECT_EQ(99u, seen.size());
	bb_body_memory_tick(m, now_us + 2 * STALL_US + 2);
	EXPECT_EQ(99u + BB_BODY_TICK_MAX, seen.size());
	for (struct bb_body_claim &c : claims)
		bb_body_claim_end(m, &c);
	bb_body_memory_delete(m);
}

// Guards against claims that are counted twice or not at all.
TEST_F(BodyMemory, ResizeAndEndKeepTheSums)
{
	struct bb_body_claim *c = receive(KB);

	EXPECT_EQ(KB, use().small);
	EXPECT_TRUE(resize(c, 20 * KB));
	EXPECT_EQ(0u, use().small);
	EXPECT_EQ(20 * KB, total());
	EXPECT_TRUE(resize(c, 2 * KB));
	EXPECT_EQ(2 * KB, use().small);
	bb_body_claim_force(memory_, c, 50 * MB);
	EXPECT_EQ(50 * MB, total());
	bb_body_claim_end(memory_, c);
	bb_body_claim_end(memory_, c);
	EXPECT_EQ(0u, total());
}

// Guards against a default that does not bound a large machine, or that leaves
// no room for a few bodies of the largest size on a small one.
TEST(BodyMemoryDefault, IsBounded)
{
	EXPECT_EQ(256 * MB, bb_body_default_limit(0));
	EXPECT_EQ(256 * MB, bb_body_default_limit(32768 * MB));
	EXPECT_EQ(64 * MB, bb_body_default_limit(160 * MB));
	EXPECT_EQ(128 * MB, bb_body_default_limit(512 * MB));
}

// Guards against a module that needs an accounting: without one all claims are
// admitted.
TEST(BodyMemoryDefault, NoAccountingAdmitsAll)
{
	struct bb_body_claim c = {};

	bb_body_claim_begin(nullptr, &c, BB_BODY_RECEIVED, 1, 1, 0);
	EXPECT_TRUE(bb_body_claim_resize(nullptr, &c, 1000 * MB, 0));
	bb_body_claim_moved(nullptr, &c, MB, 1);
	EXPECT_TRUE(bb_body_claim_pin(nullptr, &c));
	bb_body_claim_end(nullptr, &c);
}
