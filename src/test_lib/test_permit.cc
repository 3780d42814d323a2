// Tests of ejection permits, most of them on a model of a fleet with lost and
// late messages, drifting clocks, restarts and partitions.
#include <gtest/gtest.h>
#include <glib.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "baobabward/clock.h"
#include "baobabward/permit.h"

namespace
{

const uint32_t kNodes = 5;
const uint32_t kSeats = 15;
const int64_t kLeaseUs = 8 * BB_US_PER_S;

// Configuration with one service; backend server i is beside node i % kNodes.
struct Table {
	std::vector<bb_backend> backends;
	std::vector<std::string> names;
	std::vector<uint32_t> handles;
	std::vector<bb_host> hosts = std::vector<bb_host>(kNodes);
	bb_service service = {};
	bb_config config = {};

	Table(size_t nr, uint32_t floor_percent)
	{
		for (size_t i = 0; i < nr; i++)
			names.push_back("b" + std::to_string(i));
		for (size_t i = 0; i < nr; i++) {
			bb_backend b = {};

			b.name = (char *)names[i].c_str();
			b.host = (uint32_t)(i % kNodes);
			b.weight = 1;
			b.slots = 5;
			backends.push_back(b);
			handles.push_back((uint32_t)i);
		}
		service.name = (char *)"orders";
		service.floor_percent = floor_percent;
		service.backends = handles.data();
		service.backends_nr = nr;
		config.automation = true;
		config.hosts = hosts.data();
		config.hosts_nr = hosts.size();
		config.services = &service;
		config.services_nr = 1;
		config.backends = backends.data();
		config.backends_nr = nr;
	}
	uint32_t allowed() const
	{
		return bb_permit_max_ejections(&config, 0);
	}
};

struct FleetModel;

struct Seat {
	int holder = -1;
	int64_t until = 0; // end of the lease, real time
};

struct Node {
	FleetModel *w;
	uint32_t id;
	double rate; // of its clock, relative to real time
	bb_permits *p = nullptr;
	uint64_t incarnation;
	bool isolated = false;
	int64_t isolated_since = 0;
	bool current = true;
	bool automation = true;
	int64_t agreed_since = 0; // local clock; -1 if unknown
	int64_t last_current = 0; // local clock
	// Seat -> (held since, valid until) on the local clock.
	std::map<uint32_t, std::pair<int64_t, int64_t>> held;

	int64_t local() const;
};

// A message between nodes that has not arrived yet.
struct Message {
	int64_t at; // arrival, real time
	uint32_t from, to;
	bool grant, release;
	uint64_t incarnation, nonce;
	uint32_t term_ms;
	std::string backend;
};

// Nodes, the seats of one lease group and the messages between them.
struct FleetModel {
	Table table;
	GRand *rand;
	int64_t now = 1000 * BB_US_PER_S;
	std::vector<std::unique_ptr<Node>> nodes;
	std::vector<Seat> seats{ kSeats };
	std::vector<Message> in_flight;
	std::set<std::string> ejected; // names of backend servers
	bool automation = true;
	int64_t automation_changed = 0;
	int64_t quorum_at = 0; // when a quorum had `automation`; 0 if not yet
	double loss = 0.1;
	uint32_t preferred = 0;

	FleetModel(size_t nr, uint32_t floor_percent, uint32_t seed)
	    : table(nr, floor_percent), rand(g_rand_new_with_seed(seed))
	{
		for (uint32_t i = 0; i < kNodes; i++) {
			auto n = std::make_unique<Node>();

			n->w = this;
			n->id = i;
			n->rate = g_rand_double_range(rand, 0.9955, 1.0045);
			nodes.push_back(std::move(n));
			restart(*nodes.back());
		}
	}
	~FleetModel()
	{
		for (auto &n : nodes)
			bb_permits_delete(n->p);
		g_rand_free(rand);
	}
	bool chance(double share)
	{
		return g_rand_double(rand) < share;
	}
	void restart(Node &n);
	void step_seats();
	void step_config();
	void step_messages();
	void step_health();
	void step();
};

int64_t Node::local() const
{
	return (int64_t)((double)w->now * rate);
}

void send_cb(void *data, uint32_t host, const bb_message *m)
{
	Node *n = (Node *)data;
	FleetModel *w = n->w;
	Message f = {};

	f.from = n->id;
	f.to = host;
	f.grant = m->type == BB_MESSAGE_PERMIT_GRANT;
	const auto &r = m->permit_request;
	const auto &g = m->permit_grant;

	f.release = !f.grant && r.release;
	f.incarnation = f.grant ? g.incarnation : r.incarnation;
	f.nonce = f.grant ? g.nonce : r.nonce;
	f.term_ms = f.grant ? g.term_ms : 0;
	const bb_bytes &b = f.grant ? g.backend : r.backend;

	f.backend.assign(b.data, b.size);
	// Messages are lost, sent twice, or delayed by up to 15 s.
	for (int copies = w->chance(0.05) ? 2 : 1; copies; copies--) {
		if (w->chance(w->loss))
			continue;
		double late = w->chance(0.05) ? 15e6 : 50e3;

		f.at = w->now + (int64_t)g_rand_double_range(w->rand, 0, late);
		w->in_flight.push_back(f);
	}
}

uint32_t seats_cb(void *data, uint32_t, int64_t since, int64_t now)
{
	uint32_t nr = 0;

	for (const auto &h : ((Node *)data)->held)
		nr += h.second.first <= since && now < h.second.second;
	return nr;
}

uint32_t group_cb(void *, const char *, uint32_t *committee)
{
	*committee = kSeats;
	return 7;
}

uint32_t holder_cb(void *data, uint32_t, unsigned int attempt)
{
	return (((Node *)data)->w->preferred + attempt) % kNodes;
}

int64_t agreement_unknown_cb(void *data, int64_t now)
{
	Node *n = (Node *)data;

	return n->current ? 0 : now - n->last_current;
}

int64_t agreed_cb(void *data, int64_t now)
{
	Node *n = (Node *)data;

	if (n->agreed_since < 0 ||
	    agreement_unknown_cb(data, now) > BB_PERMIT_AGREEMENT_GAP_US)
		return -1;
	return now - n->agreed_since;
}

void FleetModel::restart(Node &n)
{
	bb_permits_options o = {};

	bb_permits_delete(n.p);
	n.incarnation = ((uint64_t)g_rand_int(rand) << 32) | g_rand_int(rand);
	n.held.clear();
	n.agreed_since = -1;
	o.incarnation = n.incarnation;
	o.self = n.id;
	o.send = send_cb;
	o.seats_held = seats_cb;
	o.group = group_cb;
	o.holder = holder_cb;
	o.agreed_us = agreed_cb;
	o.agreement_unknown_us = agreement_unknown_cb;
	o.data = &n;
	n.p = bb_permits_new(&o);
	table.config.automation = n.automation;
	bb_permits_set_config(n.p, &table.config, n.local());
	// After a restart a node has no ejections.
	for (size_t i = n.id; i < table.names.size(); i += kNodes)
		ejected.erase(table.names[i]);
}

// Each seat is leased to one borrower at a time. The borrower counts the term
// from before its request, less 1%; the lender adds 1%.
void FleetModel::step_seats()
{
	for (uint32_t i = 0; i < kSeats; i++) {
		Seat &s = seats[i];
		uint32_t want = chance(0.02) ?
					g_rand_int_range(rand, 0, kNodes) :
					preferred;

		if (!chance(0.05) || nodes[want]->isolated)
			continue;
		if (s.holder != (int)want && now < s.until)
			continue;
		Node &n = *nodes[want];
		bool gap = s.holder != (int)want || now >= s.until ||
			   !n.held.count(i);

		s.holder = (int)want;
		s.until = now + kLeaseUs + kLeaseUs / 100;
		if (chance(0.2))
			continue; // the grant is lost
		auto &h = n.held[i];

		if (gap || n.local() >= h.second)
			h.first = n.local();
		h.second = n.local() + kLeaseUs * 99 / 100;
	}
}

// A change of `automation` reaches connected nodes within the freshness bound;
// isolated nodes are not current after that time.
void FleetModel::step_config()
{
	size_t have = 0;

	if (now - automation_changed > 45 * BB_US_PER_S && chance(0.005)) {
		automation = !automation;
		automation_changed = now;
		quorum_at = 0;
	}
	for (auto &n : nodes) {
		if (!n->isolated && n->automation != automation &&
		    (chance(0.01) ||
		     now - automation_changed > 9 * BB_US_PER_S)) {
			n->automation = automation;
			table.config.automation = automation;
			bb_permits_set_config(n->p, &table.config, n->local());
			n->agreed_since = -1;
		}
		if (n->isolated && now - n->isolated_since > 9900000) {
			n->current = false;
		} else if (!n->isolated && n->automation != automation &&
			   chance(0.05)) {
			n->current = false; // heard of the newer version
		} else if (!n->isolated && n->automation == automation) {
			n->current = true;
		}
		if (n->local() - n->last_current > BB_PERMIT_AGREEMENT_GAP_US)
			n->agreed_since = -1;
		if (n->current)
			n->last_current = n->local();
		have += n->automation == automation;
	}
	if (!quorum_at && have >= 3)
		quorum_at = now;
	for (auto &n : nodes)
		if (quorum_at && n->current && n->agreed_since < 0 &&
		    !n->isolated && n->automation == automation)
			n->agreed_since = n->local();
}

void FleetModel::step_messages()
{
	std::vector<Message> due;

	for (size_t i = 0; i < in_flight.size();) {
		if (in_flight[i].at > now) {
			i++;
			continue;
		}
		due.push_back(in_flight[i]);
		in_flight[i] = in_flight.back();
		in_flight.pop_back();
	}
	for (const Message &f : due) {
		Node &n = *nodes[f.to];
		bb_message m = {};
		bb_bytes service = { "orders", 6 };
		bb_bytes backend = { f.backend.data(), f.backend.size() };

		if (n.isolated != nodes[f.from]->isolated)
			continue;
		if (f.grant) {
			m.type = BB_MESSAGE_PERMIT_GRANT;
			m.permit_grant = { f.incarnation, f.nonce, service,
					   backend, f.term_ms };
		} else {
			m.type = BB_MESSAGE_PERMIT_REQUEST;
			m.permit_request = { f.incarnation, f.nonce, service,
					     backend, f.release };
		}
		bb_permits_receive(n.p, f.from, &m, n.local());
	}
}

// Each node tries to eject all of its backend servers, far more than the floor
// allows.
void FleetModel::step_health()
{
	for (size_t i = 0; i < table.names.size(); i++) {
		Node &n = *nodes[i % kNodes];
		const char *name = table.names[i].c_str();

		if (ejected.count(name)) {
			bool valid = bb_permits_valid_until(
					     n.p, name, n.local()) > n.local();

			if (valid && (!n.automation || !chance(0.002)))
				continue;
			ejected.erase(name);
			bb_permits_release(n.p, name, n.local());
		} else if (n.automation && bb_permits_acquire_or_release(
						   n.p, "orders", name, true,
						   n.local()) > n.local()) {
			ejected.insert(name);
		}
	}
}

void FleetModel::step()
{
	now += 100 * BB_US_PER_MS;
	if (chance(0.003))
		preferred = g_rand_int_range(rand, 0, kNodes);
	for (auto &n : nodes) {
		if (chance(0.0005))
			restart(*n);
		if (chance(n->isolated ? 0.01 : 0.001)) {
			n->isolated = !n->isolated;
			n->isolated_since = now;
		}
	}
	step_seats();
	step_config();
	step_messages();
	for (auto &n : nodes)
		bb_permits_tick(n->p, n->local());
	step_health();
}

} // namespace

// Guards against a maximum of ejections that violates the floor because of
// rounding, unequal capacities, or backend servers in the state leaving or out.
TEST(Permit, MaxEjectionsLeaveTheFloorOfCapacity)
{
	Table t(10, 60);

	EXPECT_EQ(4u, t.allowed());
	t.backends[0].state = BB_BACKEND_LEAVING;
	t.backends[1].state = BB_BACKEND_OUT;
	EXPECT_EQ(2u, t.allowed());
	t.backends[2].slots = 15;
	// Total 60, floor 36, remaining 50: the largest, 15, cannot be ejected.
	EXPECT_EQ(0u, t.allowed());
	EXPECT_EQ(0u, Table(5, 100).allowed());
	EXPECT_EQ(5u, Table(5, 0).allowed());
	EXPECT_EQ(0u, Table(5, 81).allowed());
	EXPECT_EQ(1u, Table(5, 80).allowed());
}

// Guards against shares that add up to more than E for some split of the seats
// among holders.
TEST(Permit, SharesNeverSumToMoreThanAllowed)
{
	GRand *rand = g_rand_new_with_seed(1);

	for (int i = 0; i < 20000; i++) {
		uint32_t allowed = g_rand_int_range(rand, 0, 40);
		uint32_t k = g_rand_int_range(rand, 1, 16), left = k, sum = 0;

		while (left) {
			uint32_t v = g_rand_int_range(rand, 1, left + 1);

			sum += bb_permit_share(allowed, v, k);
			left -= v;
		}
		ASSERT_LE(sum, allowed);
		ASSERT_EQ(allowed, bb_permit_share(allowed, k, k));
	}
	g_rand_free(rand);
}

// Guards against too many ejections while holders change, messages are lost,
// late or repeated, clocks drift, nodes restart or are isolated, and automation
// is turned off and on.
TEST(Permit, EjectionsNeverExceedMaximumUnderFaults)
{
	uint64_t sum = 0, steps = 0;

	for (uint32_t seed = 1; seed <= 40; seed++) {
		const size_t sizes[] = { 5, 10, 15, 25 };
		FleetModel w(sizes[seed % 4], 60, seed);
		uint32_t allowed = w.table.allowed();

		for (int i = 0; i < 6000; i++) {
			w.step();
			ASSERT_LE(w.ejected.size(), allowed)
				<< "seed " << seed << " step " << i;
			sum += w.ejected.size();
			steps++;
		}
	}
	// Permits were granted; otherwise the bound would hold trivially.
	EXPECT_GT((double)sum / (double)steps, 1.0);
}

// Guards against a holder that grants permits on seats it has just acquired
// while permits of the former holder have not expired.
TEST(Permit, NewHolderWaitsForPermitsOfFormerHolder)
{
	FleetModel w(5, 60, 3);
	Node &a = *w.nodes[0], &b = *w.nodes[1];

	w.loss = 0;
	for (Node *n : { &a, &b })
		n->agreed_since = n->local() - 60 * BB_US_PER_S;
	for (uint32_t i = 0; i < kSeats; i++)
		a.held[i] = { 0, a.local() + kLeaseUs };
	bb_permits_acquire(a.p, "orders", "b0", a.local());
	bb_permits_acquire(a.p, "orders", "b5", a.local());
	EXPECT_EQ(2u, bb_permits_outstanding(a.p, "orders", a.local()));
	a.held.clear();
	w.preferred = 1;
	for (uint32_t i = 0; i < kSeats; i++)
		b.held[i] = { b.local(), b.local() + 60 * BB_US_PER_S };
	bb_permits_acquire(b.p, "orders", "b1", b.local());
	EXPECT_EQ(0u, bb_permits_outstanding(b.p, "orders", b.local()));
	// After each refusal the request goes to the next node.
	for (int i = 0; i < 12; i++) {
		w.now += BB_US_PER_S;
		bb_permits_tick(b.p, b.local());
		EXPECT_TRUE(i >= 9 ||
			    !bb_permits_outstanding(b.p, "orders", b.local()));
	}
	for (int i = 0; i < 10; i++) {
		w.now += BB_US_PER_S;
		bb_permits_tick(b.p, b.local());
	}
	EXPECT_EQ(1u, bb_permits_outstanding(b.p, "orders", b.local()));
}

namespace
{

// Node 0 holds all seats and grants its own permits; the quorum has accepted
// `automation: true` for long enough.
struct SingleHolder : FleetModel {
	Node &a = *nodes[0];

	SingleHolder() : FleetModel(5, 60, 9)
	{
		loss = 0;
		a.rate = 1;
		a.agreed_since = a.local() - 60 * BB_US_PER_S;
		hold();
	}
	void hold()
	{
		for (uint32_t i = 0; i < kSeats; i++)
			a.held[i] = { 0, INT64_MAX };
	}
	bool valid()
	{
		return bb_permits_valid_until(a.p, "b0", now) > now;
	}
	void run(int64_t us)
	{
		for (int64_t end = now + us; now < end;) {
			now += 100 * BB_US_PER_MS;
			bb_permits_tick(a.p, now);
		}
	}
	void set_automation(bool on, int64_t agreed)
	{
		table.config.automation = on;
		bb_permits_set_config(a.p, &table.config, now);
		a.agreed_since = agreed;
	}
};

} // namespace

// Guards against a requester that counts the term from the grant instead of
// from its request, and against missing margins for clock drift on both sides.
TEST(Permit, TermCountsFromTheRequestLessDrift)
{
	SingleHolder w;
	Node &b = *w.nodes[1];

	b.rate = 1;
	b.agreed_since = 0;
	bb_permits_acquire(b.p, "orders", "b1", w.now);
	int64_t asked = w.now;

	ASSERT_EQ(1u, w.in_flight.size());
	w.now += 400 * BB_US_PER_MS;
	w.in_flight[0].at = w.now;
	w.step_messages();
	int64_t granted = w.now;

	w.now += 400 * BB_US_PER_MS;
	ASSERT_EQ(1u, w.in_flight.size());
	w.in_flight[0].at = w.now;
	w.step_messages();
	EXPECT_EQ(asked + BB_PERMIT_TERM_US * 99 / 100,
		  bb_permits_valid_until(b.p, "b1", w.now));
	int64_t end = granted + BB_PERMIT_TERM_US * 101 / 100;

	EXPECT_EQ(1u, bb_permits_outstanding(w.a.p, "orders", end - 1));
	EXPECT_EQ(0u, bb_permits_outstanding(w.a.p, "orders", end));
}

// Guards against a restarted node that accepts a grant for a request of its
// former incarnation.
TEST(Permit, GrantForFormerIncarnationIsIgnored)
{
	SingleHolder w;
	Node &b = *w.nodes[1];

	b.agreed_since = 0;
	bb_permits_acquire(b.p, "orders", "b1", b.local());
	Message f = w.in_flight.at(0);

	w.restart(b);
	b.agreed_since = 0;
	bb_permits_acquire(b.p, "orders", "b1", b.local());
	f.grant = true;
	f.term_ms = 10000;
	std::swap(f.from, f.to);
	f.at = w.now;
	w.in_flight = { f };
	w.step_messages();
	EXPECT_LE(bb_permits_valid_until(b.p, "b1", b.local()), b.local());
}

// Guards against an ejection that ends while automation is off, and against one
// that stays in force although no quorum has accepted that automation is off.
TEST(Permit, FrozenOnlyWhileTheFleetAgrees)
{
	for (int agreed = 0; agreed < 2; agreed++) {
		SingleHolder w;

		bb_permits_acquire(w.a.p, "orders", "b0", w.now);
		ASSERT_TRUE(w.valid());
		w.set_automation(false, w.now);
		w.run(agreed ? BB_PERMIT_FREEZE_WAIT_US : 0);
		w.a.held.clear();
		w.run(30 * BB_US_PER_S);
		ASSERT_EQ(agreed != 0, w.valid());
		w.a.agreed_since = -1; // not current
		EXPECT_FALSE(w.valid());
	}
}

// Guards against a frozen ejection that ends because its node hears of a newer
// version before it has fetched it, and against one that stays in force for
// longer than BB_PERMIT_AGREEMENT_GAP_US without knowledge of the agreement.
TEST(Permit, FrozenWhileNewerVersionIsFetched)
{
	for (int turned_on = 0; turned_on < 2; turned_on++) {
		SingleHolder w;

		bb_permits_acquire(w.a.p, "orders", "b0", w.now);
		w.set_automation(false, w.now);
		w.run(BB_PERMIT_FREEZE_WAIT_US);
		w.a.held.clear();
		w.run(30 * BB_US_PER_S);
		for (int i = 0; i < 3; i++) {
			w.a.last_current = w.now;
			w.a.current = false;
			w.run(BB_PERMIT_AGREEMENT_GAP_US - BB_US_PER_S);
			ASSERT_TRUE(w.valid());
			w.a.current = i < 2;
			w.run(w.a.current ? BB_US_PER_S : 0);
		}
		if (turned_on)
			w.set_automation(true, -1);
		EXPECT_TRUE(w.valid());
		w.run(BB_US_PER_S);
		EXPECT_FALSE(w.valid());
	}
}

// Guards against frozen ejections that stay in force without a permit after
// automation is turned on, or after a configuration that allows fewer.
TEST(Permit, FrozenNeedsPermitAgainAfterChange)
{
	for (int shrink = 0; shrink < 2; shrink++) {
		SingleHolder w;

		bb_permits_acquire(w.a.p, "orders", "b0", w.now);
		w.set_automation(false, w.now);
		w.run(BB_PERMIT_FREEZE_WAIT_US);
		w.a.held.clear();
		w.run(30 * BB_US_PER_S);
		ASSERT_TRUE(w.valid());
		if (shrink)
			w.table.service.floor_percent = 80;
		w.set_automation(!shrink, w.now);
		EXPECT_TRUE(w.valid());
		w.run(BB_PERMIT_REACQUIRE_US);
		EXPECT_FALSE(w.valid());
		// A new ejection needs a quorum that accepted automation: true.
		w.hold();
		w.run(5 * BB_US_PER_S);
		EXPECT_FALSE(w.valid());
		w.set_automation(true, w.now - BB_PERMIT_ENABLE_WAIT_US);
		w.run(5 * BB_US_PER_S);
		EXPECT_TRUE(w.valid());
	}
}

namespace
{
// One node that holds all seats and grants its own permits.
struct OwnGrantor {
	Table table{ 5, 60 };
	uint32_t leaving = UINT32_MAX;
	uint32_t holder = 0;
	int sent = 0;
	int64_t now = 1000 * BB_US_PER_S;
	bb_permits *p;

	OwnGrantor()
	{
		bb_permits_options o = {};

		o.incarnation = 1;
		o.seats_held = [](void *, uint32_t, int64_t, int64_t) {
			return kSeats;
		};
		o.group = group_cb;
		o.holder = [](void *data, uint32_t, unsigned int) {
			return ((OwnGrantor *)data)->holder;
		};
		o.send = [](void *data, uint32_t, const struct bb_message *) {
			((OwnGrantor *)data)->sent++;
		};
		o.agreed_us = [](void *, int64_t) { return INT64_MAX / 2; };
		o.leaving = [](void *data, uint32_t host) {
			return host == ((OwnGrantor *)data)->leaving;
		};
		o.data = this;
		p = bb_permits_new(&o);
		bb_permits_set_config(p, &table.config, now);
	}
	~OwnGrantor()
	{
		bb_permits_delete(p);
	}
	int granted()
	{
		int nr = 0;

		for (const std::string &name : table.names)
			nr += bb_permits_valid_until(p, name.c_str(), now) >
			      now;
		return nr;
	}
	void want_all()
	{
		for (const std::string &name : table.names)
			bb_permits_acquire(p, "orders", name.c_str(), now);
		for (int i = 0; i < 10; i++) {
			now += 500 * BB_US_PER_MS;
			bb_permits_tick(p, now);
		}
	}
};
} // namespace

// Guards against requests to another host that this node answers itself, and
// requests to itself that it sends, after the order of the host list changed.
TEST(Permit, OwnIndexFollowsTheHostList)
{
	OwnGrantor n;

	n.holder = 3;
	bb_permits_set_self(n.p, 3);
	n.want_all();
	EXPECT_EQ(2, n.granted());
	EXPECT_EQ(0, n.sent);
	n.holder = 0;
	n.want_all();
	EXPECT_LT(0, n.sent);
}

// Guards against ejections that leave less than the floor together with the
// hosts that the platform is removing.
TEST(Permit, LeavingHostsCountAsLostCapacity)
{
	for (uint32_t leaving : { UINT32_MAX, 3u }) {
		OwnGrantor a;

		a.leaving = leaving;
		bb_permits_set_config(a.p, &a.table.config, a.now);
		a.want_all();
		EXPECT_EQ(leaving == UINT32_MAX ? 2 : 1, a.granted());
	}
	// A host starts to leave while two backend servers are ejected: one of
	// the two permits is not renewed.
	OwnGrantor a;

	a.want_all();
	ASSERT_EQ(2, a.granted());
	a.leaving = 3;
	bb_permits_set_config(a.p, &a.table.config, a.now);
	a.now += 2 * BB_PERMIT_TERM_US;
	bb_permits_tick(a.p, a.now);
	a.want_all();
	EXPECT_EQ(1, a.granted());
}

// Guards against ejections that leave less than the floor beside a zone that is
// evacuated.
TEST(Permit, EvacuatedHostsCountAsLostCapacity)
{
	OwnGrantor a;

	a.table.hosts[3].evacuated = true;
	bb_permits_set_config(a.p, &a.table.config, a.now);
	a.want_all();
	EXPECT_EQ(1, a.granted());
}
