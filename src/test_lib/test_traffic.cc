// The traffic thread, with other nodes over real sockets.
#include <arpa/inet.h>
#include <glib.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <utility>
#include <vector>

#include "config_fixture.h"

extern "C" {
#include "libnode/traffic.h"
}
#include "baobabward/transport.h"

namespace
{

// Upper limit of every wait; only reached when a test fails.
const gint64 kWaitUs = 10000000;

// Of this test alone, so that a port that was free stays so.
const char kAddress[] = "127.77.0.1";

uint16_t free_port()
{
	struct sockaddr_in a = {};
	socklen_t size = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	a.sin_family = AF_INET;
	a.sin_addr.s_addr = inet_addr(kAddress);
	EXPECT_EQ(0, bind(fd, (struct sockaddr *)&a, size));
	EXPECT_EQ(0, getsockname(fd, (struct sockaddr *)&a, &size));
	close(fd);
	return ntohs(a.sin_port);
}

std::string host_row(const std::string &name, uint16_t port)
{
	return "{\"name\":\"" + name +
	       "\",\"region\":\"r\",\"zone\":\"za\",\"address\":\"" + kAddress +
	       "\",\"data_port\":" + std::to_string(port) +
	       ",\"control_port\":" + std::to_string(name.size()) + "}";
}

// Another node, which has a connection to the one under test.
struct Peer {
	struct bb_transport *t;

	Peer(const char *name, uint16_t port)
	{
		struct bb_transport_options o = {};
		struct bb_transport_peer to = { "node", kAddress, port,
						nullptr };

		o.address = kAddress;
		o.name = name;
		o.bytes_in_metric = BB_METRIC_PEER_BYTES_IN;
		o.bytes_out_metric = BB_METRIC_PEER_BYTES_OUT;
		t = bb_transport_new(&o, nullptr);
		EXPECT_EQ(0, bb_transport_update(t, &to, 1, nullptr));
	}
	~Peer()
	{
		bb_transport_delete(t);
	}
	std::string row(const std::string &name) const
	{
		return host_row(name, bb_transport_port(t));
	}
	// Backend servers of the last message with reports, with the time for
	// which they ask to be avoided.
	std::vector<std::pair<std::string, int64_t>> reports;

	void take_reports(const struct bb_backend_report *r, size_t nr)
	{
		reports.clear();
		for (size_t i = 0; i < nr; i++)
			reports.push_back(
				{ { r[i].backend.data, r[i].backend.size },
				  r[i].load.avoid_for_us });
	}
	// Waits for a message of a type. Sends HELLO until then if @hello.
	bool wait(enum bb_message_type type, bool hello)
	{
		gint64 end_us = g_get_monotonic_time() + kWaitUs;
		bool found = false;

		while (!found && g_get_monotonic_time() < end_us) {
			struct bb_message m = {};
			struct bb_received_message *r;

			m.type = BB_MESSAGE_HELLO;
			if (hello)
				bb_transport_send(t, 0, &m, nullptr);
			g_usleep(5000);
			while ((r = bb_transport_receive(t))) {
				const struct bb_message *got =
					bb_received_message_get(r);

				found |= got->type == type;
				if (got->type == BB_MESSAGE_WELCOME)
					take_reports(got->welcome.reports,
						     got->welcome.reports_nr);
				if (got->type == BB_MESSAGE_BACKEND_REPORTS)
					take_reports(
						got->backend_reports.reports,
						got->backend_reports.reports_nr);
				bb_received_message_delete(r);
			}
		}
		return found;
	}
};

struct Traffic {
	uint16_t port = free_port();
	struct bb_settings settings = {};
	struct bb_snapshots *snapshots = bb_snapshots_new("node");
	struct bb_traffic *t = nullptr;
	int version = 0;
	std::string policies;
	std::string backends;

	~Traffic()
	{
		if (t)
			bb_traffic_delete(t);
		bb_snapshots_delete(snapshots);
	}
	void configure(const std::string &other_hosts)
	{
		struct bb_traffic_options o = {};
		struct bb_error err = {};
		struct bb_snapshot *s;
		Document d;
		std::string why;

		d.version = std::to_string(++version);
		d.hosts = other_hosts + "," + host_row("node", port);
		d.backends = backends;
		d.extra = policies;
		Config c = parse(d.json(), &why);
		ASSERT_TRUE(c) << why;
		ASSERT_TRUE(bb_snapshots_swap(snapshots, c.release()));
		s = bb_snapshots_get(snapshots);
		o.incarnation = 1;
		o.host = "node";
		o.address = kAddress;
		o.port = port;
		o.settings = &settings;
		if (t)
			bb_traffic_configure(t, s);
		else
			t = bb_traffic_new(&o, s, &err);
		bb_snapshot_put(s);
		ASSERT_NE(nullptr, t) << err.message;
	}
};

} // namespace

// Guards against a planned stop that a host is not told of, because the row that
// it had when it connected is that of another host now.
TEST(Traffic, HostsAreToldOfAStopAfterRowsChanged)
{
	Traffic x;
	Peer first("first", x.port), second("2nd", x.port);

	x.configure(first.row("first"));
	ASSERT_TRUE(first.wait(BB_MESSAGE_WELCOME, true));
	x.configure(second.row("2nd") + "," + first.row("first"));
	ASSERT_TRUE(second.wait(BB_MESSAGE_WELCOME, true));
	bb_traffic_drain(x.t);
	EXPECT_TRUE(first.wait(BB_MESSAGE_RESULT, false));
	EXPECT_TRUE(second.wait(BB_MESSAGE_RESULT, false));
}

namespace
{

std::string backend_row(const std::string &state)
{
	return "{\"name\":\"o1\",\"host\":\"node\",\"service\":\"orders\","
	       "\"url\":\"http://127.77.0.1:1\",\"weight\":1,\"slots\":5,"
	       "\"max_connections\":9,\"state\":\"" +
	       state + "\"}";
}

} // namespace

// Guards against reports where the configuration does not have the policy, a
// WELCOME without reports where it has, and a change of a backend server that is
// not told to a node that sent a message.
TEST(Traffic, ReportsAreSentWithThePolicy)
{
	Traffic x;
	Peer peer("first", x.port);

	x.backends = backend_row("in");
	x.configure(peer.row("first"));
	ASSERT_TRUE(peer.wait(BB_MESSAGE_WELCOME, true));
	EXPECT_EQ(0u, peer.reports.size());
	x.policies = ",\"policies\":{\"report_bytes_per_s\":1500}";
	x.configure(peer.row("first"));
	for (int i = 0; i < 1000 && peer.reports.empty(); i++)
		ASSERT_TRUE(peer.wait(BB_MESSAGE_WELCOME, true));
	ASSERT_EQ(1u, peer.reports.size());
	EXPECT_EQ("o1", peer.reports[0].first);
	EXPECT_EQ(0, peer.reports[0].second);
	x.backends = backend_row("leaving");
	x.configure(peer.row("first"));
	ASSERT_TRUE(peer.wait(BB_MESSAGE_BACKEND_REPORTS, false));
	ASSERT_EQ(1u, peer.reports.size());
	EXPECT_GT(peer.reports[0].second, 0);
}
