// The main loop's side of a transport, with two nodes over real sockets.
#include <glib.h>
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "config_fixture.h"

extern "C" {
#include "libnode/endpoint.h"
}

namespace
{

// Upper limit of every wait; only reached when a test fails.
const gint64 kWaitUs = 10000000;

struct Node {
	GMainContext *context = g_main_context_new();
	struct bb_endpoint *endpoint = nullptr;
	std::vector<uint32_t> senders;
	struct bb_sender last = {};

	explicit Node(const char *name)
	{
		struct bb_transport_options o = {};

		o.address = "127.0.0.1";
		o.name = name;
		o.bytes_in_metric = BB_METRIC_PEER_BYTES_IN;
		o.bytes_out_metric = BB_METRIC_PEER_BYTES_OUT;
		endpoint = bb_endpoint_new(&o, context, receive, this, nullptr);
	}
	~Node()
	{
		bb_endpoint_delete(endpoint);
		g_main_context_unref(context);
	}
	static void receive(void *data, struct bb_received_message *r)
	{
		auto *n = (Node *)data;

		n->last = *bb_received_message_sender(r);
		n->senders.push_back(n->last.host);
		bb_received_message_delete(r);
	}
	struct bb_transport *transport() const
	{
		return bb_endpoint_transport(endpoint);
	}
	void configure(const std::string &hosts)
	{
		Document d;
		std::string why;

		d.hosts = hosts;
		d.backends = "";
		Config c = parse(d.json(), &why);
		ASSERT_TRUE(c) << why;
		ASSERT_EQ(0, bb_endpoint_configure(endpoint, c.get(), false,
						   nullptr));
	}
	// Whether a message was received and waits to be dispatched.
	bool wait_for_pending()
	{
		gint64 end_us = g_get_monotonic_time() + kWaitUs;

		while (!g_main_context_pending(context)) {
			if (g_get_monotonic_time() > end_us)
				return false;
			g_usleep(1000);
		}
		return true;
	}
};

std::string host_row(const std::string &name, const Node &n)
{
	std::string port = std::to_string(bb_transport_port(n.transport()));
	// Not used, but must be unique.
	std::string control_port = std::to_string(name.size());

	return "{\"name\":\"" + name +
	       "\",\"region\":\"r\",\"zone\":\"za\",\"address\":"
	       "\"127.0.0.1\",\"data_port\":" +
	       port + ",\"control_port\":" + control_port + "}";
}

// A node "to" has received a message of "from", the last of its three hosts,
// which is not dispatched yet.
struct PendingMessage : testing::Test {
	Node from{ "from" }, to{ "to" }, other{ "other" };
	std::string from_row = host_row("from", from);
	std::string to_row = host_row("to", to);

	void SetUp() override
	{
		std::string rows = to_row + "," + host_row("other", other) +
				   "," + from_row;
		struct bb_message m = {};
		gint64 end_us = g_get_monotonic_time() + kWaitUs;

		from.configure(rows);
		to.configure(rows);
		m.type = BB_MESSAGE_HELLO;
		while (bb_transport_send(from.transport(), 0, &m, nullptr)) {
			ASSERT_LT(g_get_monotonic_time(), end_us);
			g_main_context_iteration(from.context, FALSE);
			g_usleep(1000);
		}
		ASSERT_TRUE(to.wait_for_pending());
	}
};

} // namespace

// Guards against a message that counts as one of another host, or of a row
// behind the table, because the list of hosts changed before its dispatch.
TEST_F(PendingMessage, KeepsItsSenderInANewListOfHosts)
{
	to.configure(from_row + "," + to_row);
	g_main_context_iteration(to.context, FALSE);
	EXPECT_EQ(std::vector<uint32_t>{ 0 }, to.senders);
}

// Guards against a message of a host that was removed, which would count as one
// of the host that has its row now.
TEST_F(PendingMessage, IsDroppedWithItsSender)
{
	to.configure(to_row);
	g_main_context_iteration(to.context, FALSE);
	EXPECT_TRUE(to.senders.empty());
}

// Guards against the loss of an answer that waits to be dispatched when the host that
// sent it is removed.
TEST_F(PendingMessage, AnswerOfARemovedHostIsKept)
{
	struct bb_message m = {};

	g_main_context_iteration(to.context, FALSE);
	ASSERT_TRUE(to.last.is_request);
	m.type = BB_MESSAGE_WELCOME;
	ASSERT_EQ(0, bb_transport_reply(to.transport(), &to.last, &m, nullptr));
	ASSERT_TRUE(from.wait_for_pending());
	from.configure(from_row);
	g_main_context_iteration(from.context, FALSE);
	EXPECT_EQ(std::vector<uint32_t>{ BB_NO_ROW }, from.senders);
}
