#include <gtest/gtest.h>
#include <glib.h>
#include <poll.h>
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>
#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>
#include <zmq.h>

#include "baobabward/config.h"
#include "baobabward/transport.h"

// Upper limit of every wait; only reached when a test fails.
static const int WAIT_S = 30;

struct Keys {
	char pub[41];
	char secret[41];

	Keys()
	{
		zmq_curve_keypair(pub, secret);
	}
};

// A node with one transport, which replies to each request with its nonce plus
// 1000.
struct Node {
	struct bb_transport *t = nullptr;
	std::vector<std::vector<uint64_t>> received; // {sender host, nonce}
	struct bb_sender last = {};
	bool reply = true;
	std::string name;

	explicit Node(const Keys *keys = nullptr, uint16_t port = 0,
		      uint32_t max_message_size = 0,
		      int heartbeat_interval_ms = 0,
		      const char *own_name = nullptr, bool keep_removed = false)
	    : name(own_name ? own_name : "")
	{
		struct bb_transport_options o = {};
		struct bb_error err = {};

		o.address = "127.0.0.1";
		o.port = port;
		o.name = own_name;
		o.curve_secret_key = keys ? keys->secret : nullptr;
		o.max_message_size = max_message_size;
		o.heartbeat_interval_ms = heartbeat_interval_ms;
		o.heartbeat_timeout_ms = 2 * heartbeat_interval_ms;
		o.keep_removed = keep_removed;
		o.bytes_in_metric = BB_METRIC_PEER_BYTES_IN;
		o.bytes_out_metric = BB_METRIC_PEER_BYTES_OUT;
		t = bb_transport_new(&o, &err);
		EXPECT_NE(nullptr, t) << err.message;
	}

	~Node()
	{
		bb_transport_delete(t);
	}

	Node(const Node &) = delete;
	Node &operator=(const Node &) = delete;

	struct bb_transport_peer peer(const Keys *keys = nullptr) const
	{
		return { name.c_str(), "127.0.0.1", bb_transport_port(t),
			 keys ? keys->pub : nullptr };
	}

	void set_peers(const std::vector<struct bb_transport_peer> &peers)
	{
		ASSERT_EQ(0, bb_transport_update(t, peers.data(), peers.size(),
						 nullptr));
	}

	int send(uint32_t host, uint64_t nonce, struct bb_error *err = nullptr)
	{
		struct bb_message m = {};

		m.type = BB_MESSAGE_HELLO;
		m.hello.nonce = nonce;
		return bb_transport_send(t, host, &m, err);
	}

	// Receives all waiting messages and replies to each request.
	void drain()
	{
		struct bb_received_message *r;

		while ((r = bb_transport_receive(t))) {
			struct bb_message m = *bb_received_message_get(r);

			last = *bb_received_message_sender(r);
			received.push_back({ last.host, m.hello.nonce });
			m.hello.nonce += 1000;
			if (last.is_request && reply)
				bb_transport_reply(t, &last, &m, nullptr);
			bb_received_message_delete(r);
		}
	}

	bool has(uint32_t host, uint64_t nonce)
	{
		for (auto &g : received) {
			if (g[0] == host && g[1] == nonce)
				return true;
		}
		return false;
	}

	uint64_t unknown_peers()
	{
		struct bb_transport_stats s;

		bb_transport_stats(t, &s);
		return s.unknown_peers;
	}
};

// Drains the nodes until the condition holds; false after WAIT_S.
static bool wait_for(std::vector<Node *> nodes, std::function<bool()> done)
{
	gint64 end = g_get_monotonic_time() + WAIT_S * G_USEC_PER_SEC;
	std::vector<struct pollfd> fds;

	for (Node *n : nodes)
		fds.push_back({ bb_transport_fd(n->t), POLLIN, 0 });
	while (g_get_monotonic_time() < end) {
		for (Node *n : nodes)
			n->drain();
		if (done())
			return true;
		// With a timeout, because the condition may be a send.
		poll(fds.data(), fds.size(), 5);
	}
	return false;
}

static bool send_when_connected(std::vector<Node *> nodes, uint32_t host,
				uint64_t nonce)
{
	return wait_for(nodes, [&] { return !nodes[0]->send(host, nonce); });
}

// Forwards connections to a port. Connections that are open when silence() is
// called stay open, but carry no data from then on.
class SilentRelay
{
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	uint16_t target;
	std::atomic<bool> stop{ false };
	std::atomic<int> silenced{ 0 };
	std::atomic<int> accepted{ 0 };
	std::thread thread;

	static int connect_to(uint16_t port)
	{
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		struct sockaddr_in a = {};

		a.sin_family = AF_INET;
		a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		a.sin_port = htons(port);
		EXPECT_EQ(0, connect(fd, (struct sockaddr *)&a, sizeof(a)));
		return fd;
	}

	void run()
	{
		std::vector<struct pollfd> fds = { { listener, POLLIN, 0 } };
		char data[4096];

		while (!stop) {
			poll(fds.data(), fds.size(), 5);
			for (size_t i = 1; i < fds.size(); i++) {
				bool silent = (int)(i - 1) / 2 < silenced;
				// Pairs are at 1 and 2, 3 and 4, and so on.
				int other = fds[i % 2 ? i + 1 : i - 1].fd;
				ssize_t n = silent ? -1 :
						     recv(fds[i].fd, data,
							  sizeof(data),
							  MSG_DONTWAIT);
				fds[i].events = silent ? 0 : POLLIN;
				if (n > 0)
					send(other, data, (size_t)n,
					     MSG_NOSIGNAL);
				if (n == 0)
					shutdown(other, SHUT_RDWR);
			}
			if (fds[0].revents) {
				int fd = accept(listener, nullptr, nullptr);

				fds.push_back({ fd, POLLIN, 0 });
				fds.push_back(
					{ connect_to(target), POLLIN, 0 });
				accepted++;
			}
		}
		for (auto &f : fds)
			close(f.fd);
	}

      public:
	uint16_t port = 0;

	explicit SilentRelay(uint16_t target) : target(target)
	{
		struct sockaddr_in a = {};
		socklen_t size = sizeof(a);

		a.sin_family = AF_INET;
		a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(0, bind(listener, (struct sockaddr *)&a, size));
		EXPECT_EQ(0, listen(listener, 8));
		getsockname(listener, (struct sockaddr *)&a, &size);
		port = ntohs(a.sin_port);
		thread = std::thread([this] { run(); });
	}

	~SilentRelay()
	{
		stop = true;
		thread.join();
	}

	int connections() const
	{
		return accepted;
	}

	void silence()
	{
		silenced = accepted.load();
	}
};

// Guards against a connection that stays open but carries no data, as after a
// network failure. Heartbeats must detect it and replace it.
TEST(Transport, SilentConnectionIsReplaced)
{
	Node a(nullptr, 0, 0, 100), b;
	SilentRelay relay(bb_transport_port(b.t));

	a.set_peers({ { "b", "127.0.0.1", relay.port, nullptr } });
	ASSERT_TRUE(send_when_connected({ &a, &b }, 0, 1));
	ASSERT_TRUE(wait_for({ &a, &b }, [&] { return a.has(0, 1001); }));
	relay.silence();
	EXPECT_TRUE(wait_for({ &a, &b }, [&] {
		a.send(0, 2);
		return a.has(0, 1002);
	}));
}

// Guards against a node that replaces all of its connections, and loses what
// waits on them, after a pause in which it could not read its heartbeats.
TEST(Transport, PauseKeepsConnections)
{
	Node a(nullptr, 0, 0, 100), b;
	SilentRelay relay(bb_transport_port(b.t));
	gint64 end;

	a.set_peers({ { "b", "127.0.0.1", relay.port, nullptr } });
	ASSERT_TRUE(send_when_connected({ &a, &b }, 0, 1));
	ASSERT_TRUE(wait_for({ &a, &b }, [&] { return a.has(0, 1001); }));
	// The heartbeat of this time is not read by the other node.
	g_usleep(150 * 1000);
	a.drain();
	g_usleep(3 * G_USEC_PER_SEC / 2);
	end = g_get_monotonic_time() + G_USEC_PER_SEC;
	ASSERT_TRUE(wait_for({ &a, &b },
			     [&] { return g_get_monotonic_time() > end; }));
	ASSERT_TRUE(send_when_connected({ &a, &b }, 0, 2));
	EXPECT_TRUE(wait_for({ &a, &b }, [&] { return a.has(0, 1002); }));
	EXPECT_EQ(1, relay.connections());
}

// Guards against requests and replies that do not reach their receiver, and
// against waiting for an edge of the descriptor that a send has consumed.
TEST(Transport, RequestAndReply)
{
	Node a, b;

	a.set_peers({ a.peer(), b.peer() });
	ASSERT_TRUE(send_when_connected({ &a, &b }, 1, 7));
	EXPECT_TRUE(wait_for({ &a, &b }, [&] { return a.has(1, 1007); }));
	EXPECT_TRUE(b.has(BB_NO_ROW, 7));
	for (uint64_t i = 10; i < 60; i++)
		ASSERT_EQ(0, a.send(1, i));
	EXPECT_TRUE(wait_for({ &a, &b }, [&] { return a.has(1, 1059); }));
	EXPECT_EQ(51u, a.received.size());
}

// Guards against queueing a message for a peer that is not running. Such a
// message could run a request long after it was reported as not run.
TEST(Transport, NothingIsQueuedForAnAbsentPeer)
{
	Node a;
	auto b = std::make_unique<Node>();
	uint16_t port = bb_transport_port(b->t);
	struct bb_error err = {};

	a.set_peers({ a.peer(), b->peer() });
	b.reset();
	EXPECT_EQ(-1, a.send(1, 1, &err));
	EXPECT_EQ(BB_ERROR_FULL, err.code);
	b = std::make_unique<Node>(nullptr, port);
	ASSERT_TRUE(send_when_connected({ &a, b.get() }, 1, 2));
	EXPECT_TRUE(wait_for({ &a, b.get() }, [&] { return a.has(1, 1002); }));
	EXPECT_FALSE(b->has(BB_NO_ROW, 1));
}

// Guards against a connection that is not opened again after the peer restarts.
TEST(Transport, PeerRestartsOnTheSamePort)
{
	Node a;
	auto b = std::make_unique<Node>();
	uint16_t port = bb_transport_port(b->t);
	struct bb_sender old;

	a.set_peers({ a.peer(), b->peer() });
	ASSERT_TRUE(send_when_connected({ &a, b.get() }, 1, 1));
	ASSERT_TRUE(wait_for({ &a, b.get() }, [&] { return a.has(1, 1001); }));
	old = b->last;
	b.reset();
	b = std::make_unique<Node>(nullptr, port);

	struct bb_message m = {};
	struct bb_error err = {};

	EXPECT_EQ(-1, bb_transport_reply(b->t, &old, &m, &err));
	EXPECT_EQ(BB_ERROR_NOT_FOUND, err.code);
	// A send may be lost until the closed connection is detected.
	EXPECT_TRUE(wait_for({ &a, b.get() }, [&] {
		a.send(1, 2);
		return a.has(1, 1002);
	}));
}

// Guards against a send that blocks, or queues without bound, while the peer
// does not read.
TEST(Transport, FullQueueIsReported)
{
	Node a, b;
	std::string content(1 << 20, 'x');
	struct bb_message m = {};
	struct bb_error err = {};
	int sent = 0;

	a.set_peers({ a.peer(), b.peer() });
	ASSERT_TRUE(send_when_connected({ &a, &b }, 1, 1));
	m.type = BB_MESSAGE_PAGE;
	m.page.content = { content.data(), content.size() };
	while (sent < 10000 && !bb_transport_send(a.t, 1, &m, &err))
		sent++;
	EXPECT_EQ(BB_ERROR_FULL, err.code);
	// The queues of both sockets, and the buffers of the TCP connection.
	EXPECT_LT(sent, 2 * BB_TRANSPORT_SEND_QUEUE_MESSAGES + 100);
}

// Guards against an abort in libzmq, which ends the process when a heartbeat is
// due on a failed connection that it stopped reading because the receive queue
// was full, as after a pause of the process.
TEST(Transport, PeerEndsWhileItsAnswersWait)
{
	Node a(nullptr, 0, 0, 100);
	auto b = std::make_unique<Node>();
	uint16_t port = bb_transport_port(b->t);
	struct bb_message m = {};
	int sent = 0;

	a.set_peers({ a.peer(), b->peer() });
	ASSERT_TRUE(send_when_connected({ &a, b.get() }, 1, 1));
	ASSERT_TRUE(
		wait_for({ b.get() }, [&] { return !b->received.empty(); }));
	m.type = BB_MESSAGE_HELLO;
	ASSERT_TRUE(wait_for({ b.get() }, [&] {
		while (sent < 3 * BB_TRANSPORT_SEND_QUEUE_MESSAGES &&
		       !bb_transport_reply(b->t, &b->last, &m, nullptr))
			sent++;
		return sent == 3 * BB_TRANSPORT_SEND_QUEUE_MESSAGES;
	}));
	b.reset();
	// One heartbeat finds the connection closed; the next one would abort.
	g_usleep(G_USEC_PER_SEC / 2);
	b = std::make_unique<Node>(nullptr, port);
	EXPECT_TRUE(wait_for({ &a, b.get() }, [&] {
		a.send(1, 2);
		return a.has(1, 1002);
	}));
}

// Guards against a node that aborts when it resumes after a pause, in which a
// peer ended while its requests and heartbeats filled the receive queue.
TEST(Transport, PeerEndsWhileItsRequestsWait)
{
	Node b;
	uint64_t nonce = 1;

	for (int round = 0; round < 20; round++) {
		auto a = std::make_unique<Node>(nullptr, 0, 0, 1);
		gint64 end;

		a->set_peers({ a->peer(), b.peer() });
		ASSERT_TRUE(send_when_connected({ a.get(), &b }, 1, nonce++));
		ASSERT_TRUE(
			wait_for({ &b }, [&] { return !b.received.empty(); }));
		end = g_get_monotonic_time() + 50 * 1000;
		while (g_get_monotonic_time() < end)
			a->send(1, nonce++);
		a.reset();
		g_usleep(20 * 1000);
		b.received.clear();
		b.drain();
	}
	Node a;

	a.set_peers({ a.peer(), b.peer() });
	EXPECT_TRUE(wait_for({ &a, &b }, [&] {
		a.send(1, 1);
		return a.has(1, 1001);
	}));
}

// Guards against messages without a known sender on connections without
// encryption, and against nodes that are not in the peer list.
TEST(Transport, UnencryptedConnectionsNameTheSender)
{
	Node a(nullptr, 0, 0, 0, "a"), b(nullptr, 0, 0, 0, "b"),
		c(nullptr, 0, 0, 0, "stranger");

	b.set_peers({ b.peer(), a.peer() });
	a.set_peers({ b.peer() });
	c.set_peers({ b.peer() });
	EXPECT_TRUE(wait_for({ &a, &b, &c }, [&] {
		a.send(0, 1);
		c.send(0, 2);
		return b.has(1, 1) && b.unknown_peers() > 0 && a.has(0, 1001);
	}));
	for (auto &g : b.received)
		EXPECT_EQ(1u, g[0]);
}

// Guards against accepting a node whose key is not in the peer list, and checks
// that a sender is identified by its key.
TEST(Transport, UnknownKeyIsRefused)
{
	Keys ka, kb, kc;
	Node a(&ka), b(&kb), stranger(&kc);

	a.set_peers({ a.peer(&ka), b.peer(&kb) });
	b.set_peers({ a.peer(&ka), b.peer(&kb) });
	stranger.set_peers({ a.peer(&ka), b.peer(&kb) });
	ASSERT_TRUE(send_when_connected({ &a, &b }, 1, 5));
	EXPECT_TRUE(wait_for({ &a, &b }, [&] { return a.has(1, 1005); }));
	EXPECT_TRUE(b.has(0, 5));
	EXPECT_EQ(0u, b.unknown_peers());
	stranger.send(1, 6);
	EXPECT_TRUE(wait_for({ &stranger, &b },
			     [&] { return b.unknown_peers() > 0; }));
	EXPECT_EQ(-1, stranger.send(1, 6));
	EXPECT_EQ(1u, b.received.size());
}

// Guards against a client that sends to an impostor: the key of the server must
// be checked as well.
TEST(Transport, PeerWithAnotherKeyGetsNothing)
{
	Keys ka, kb, kc;
	Node a(&ka), impostor(&kc), b(&kb);

	a.set_peers({ impostor.peer(&kb), b.peer(&kb) });
	impostor.set_peers({ a.peer(&ka) });
	b.set_peers({ a.peer(&ka) });
	a.send(0, 1);
	ASSERT_TRUE(send_when_connected({ &a, &b, &impostor }, 1, 2));
	EXPECT_EQ(-1, a.send(0, 1));
	EXPECT_TRUE(impostor.received.empty());
}

// Guards against serving the open connection of a host that was removed from
// the peer list.
TEST(Transport, RemovedKeyIsDroppedOnOpenConnections)
{
	Keys ka, kb;
	Node a(&ka), b(&kb);

	a.set_peers({ a.peer(&ka), b.peer(&kb) });
	b.set_peers({ a.peer(&ka), b.peer(&kb) });
	ASSERT_TRUE(send_when_connected({ &a, &b }, 1, 1));
	ASSERT_TRUE(wait_for({ &a, &b }, [&] { return b.has(0, 1); }));
	b.set_peers({ b.peer(&kb) });
	ASSERT_EQ(0, a.send(1, 2));
	EXPECT_TRUE(
		wait_for({ &a, &b }, [&] { return b.unknown_peers() > 0; }));
	EXPECT_EQ(1u, b.received.size());
}

// Guards against a peer that makes this node allocate memory without bound.
TEST(Transport, OversizedMessageIsRefused)
{
	Node a, b(nullptr, 0, 1000);
	std::string content(2000, 'x');
	struct bb_message m = {};

	a.set_peers({ a.peer(), b.peer() });
	ASSERT_TRUE(send_when_connected({ &a, &b }, 1, 1));
	m.type = BB_MESSAGE_PAGE;
	m.page.content = { content.data(), content.size() };
	ASSERT_EQ(0, bb_transport_send(a.t, 1, &m, nullptr));
	// The connection is closed and replaced; later messages arrive.
	EXPECT_TRUE(wait_for({ &a, &b }, [&] {
		a.send(1, 2);
		return a.has(1, 1002);
	}));
	for (auto &g : b.received)
		EXPECT_TRUE(g[1] == 1 || g[1] == 2);
	m.page.content.size = 990;
	a.set_peers({ b.peer() });
	ASSERT_EQ(-1, bb_transport_send(b.t, 0, &m, nullptr));
}

// Guards against a change of the peer list that breaks connections to unchanged
// peers, and against replies with the host index of the previous list.
TEST(Transport, PeerListUpdateKeepsConnections)
{
	Node a, b, c;

	a.set_peers({ a.peer(), b.peer() });
	ASSERT_TRUE(send_when_connected({ &a, &b }, 1, 1));
	ASSERT_TRUE(wait_for({ &a, &b }, [&] { return a.has(1, 1001); }));
	a.set_peers({ b.peer(), c.peer(), a.peer() });
	// Connected already, so that the first send succeeds.
	EXPECT_EQ(0, a.send(0, 2));
	EXPECT_TRUE(wait_for({ &a, &b }, [&] { return a.has(0, 1002); }));
	EXPECT_TRUE(send_when_connected({ &a, &b, &c }, 1, 3));
	EXPECT_TRUE(wait_for({ &a, &c }, [&] { return a.has(1, 1003); }));
	a.set_peers({ a.peer() });

	struct bb_transport_stats s;

	bb_transport_stats(a.t, &s);
	EXPECT_EQ(0u, s.connections);
}

// Guards against the loss of an answer of a host that leaves the configuration while
// it has a request, and against connections to such hosts that stay open.
TEST(Transport, AnswersOfARemovedPeerArrive)
{
	Node a(nullptr, 0, 0, 0, nullptr, true), b;
	struct bb_transport_stats s;
	struct bb_message m = {};

	b.reply = false;
	a.set_peers({ b.peer(), a.peer() });
	bb_transport_close_idle(a.t, 1000, 5000);
	ASSERT_TRUE(send_when_connected({ &a, &b }, 0, 1));
	ASSERT_TRUE(wait_for({ &a, &b }, [&] { return b.last.is_request; }));
	a.set_peers({ a.peer() });
	m.type = BB_MESSAGE_HELLO;
	m.hello.nonce = 2;
	ASSERT_EQ(0, bb_transport_reply(b.t, &b.last, &m, nullptr));
	EXPECT_TRUE(wait_for({ &a, &b }, [&] { return a.has(BB_NO_ROW, 2); }));
	EXPECT_NE(0, a.send(1, 3));
	bb_transport_close_idle(a.t, 6000, 5000);
	bb_transport_stats(a.t, &s);
	EXPECT_EQ(1u, s.connections);
	bb_transport_close_idle(a.t, 6001, 5000);
	bb_transport_stats(a.t, &s);
	EXPECT_EQ(0u, s.connections);
	// A peer that is listed again gets a connection of its own.
	a.set_peers({ a.peer(), b.peer() });
	EXPECT_TRUE(send_when_connected({ &a, &b }, 1, 4));
	a.set_peers({ a.peer() });
	a.set_peers({ a.peer(), b.peer() });
	EXPECT_TRUE(send_when_connected({ &a, &b }, 1, 5));
}

// Guards against connections that stay open without traffic, and against a peer
// that cannot be connected again after bb_transport_disconnect().
TEST(Transport, IdleConnectionsAreClosed)
{
	Node a, b;
	struct bb_transport_stats s;

	a.set_peers({ a.peer(), b.peer() });
	bb_transport_close_idle(a.t, 1000, 5000);
	ASSERT_TRUE(send_when_connected({ &a, &b }, 1, 1));
	bb_transport_close_idle(a.t, 6000, 5000);
	bb_transport_stats(a.t, &s);
	EXPECT_EQ(1u, s.connections);
	bb_transport_close_idle(a.t, 6001, 5000);
	bb_transport_stats(a.t, &s);
	EXPECT_EQ(0u, s.connections);
	ASSERT_TRUE(send_when_connected({ &a, &b }, 1, 2));
	bb_transport_disconnect(a.t, 1);
	ASSERT_TRUE(send_when_connected({ &a, &b }, 1, 3));
	EXPECT_TRUE(wait_for({ &a, &b }, [&] { return a.has(1, 1003); }));
}
