// Dead idle connections to backend servers: the rule of connections.h with a
// simulated clock, and the executor with libcurl over real sockets.
#include <arpa/inet.h>
#include <fcntl.h>
#include <glib-unix.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "listening_socket.h"

extern "C" {
#include "libnode/connections.h"
#include "libnode/executor.h"
}

namespace
{

struct Connections {
	std::set<int> closed;
	struct bb_connections *c = bb_connections_new(
		[](void *data, const struct bb_idle_connection *n) {
			((Connections *)data)->closed.insert(n->fd);
		},
		this);

	~Connections()
	{
		bb_connections_delete(c);
	}
	// Opens a connection, receives an answer on it and leaves it idle.
	struct bb_connection_use used(int fd, int64_t opened, int64_t answered,
				      const char *origin = "a")
	{
		struct bb_connection_use use =
			bb_connections_opened(c, fd, origin, this, opened);

		bb_connections_established(c, &use, 1);
		bb_connections_answered(c, &use, origin, answered);
		bb_connections_release(c, &use, this);
		return use;
	}
};

// A backend server on the main loop of the test. It answers each request,
// except on connections in @silent.
struct Server {
	GMainContext *context;
	int fd;
	GSource *source;
	std::string url;
	std::map<int, GSource *> open;
	std::set<int> silent;
	int accepted = 0, closed = 0;

	explicit Server(GMainContext *context) : context(context)
	{
		fd = listening_socket(&url);
		source = watch(fd, on_accept);
	}
	~Server()
	{
		while (!open.empty())
			end(open.begin()->first);
		drop(source);
		close(fd);
	}
	GSource *watch(int which, GUnixFDSourceFunc fn)
	{
		GSource *s = g_unix_fd_source_new(which, G_IO_IN);

		g_source_set_callback(s, (GSourceFunc)(void *)fn, this, NULL);
		g_source_attach(s, context);
		return s;
	}
	static void drop(GSource *s)
	{
		g_source_destroy(s);
		g_source_unref(s);
	}
	void end(int which)
	{
		drop(open[which]);
		open.erase(which);
		silent.erase(which);
		close(which);
	}
	void silence_all()
	{
		for (auto &o : open)
			silent.insert(o.first);
	}
	static gboolean on_accept(gint fd, GIOCondition, gpointer data)
	{
		Server *s = (Server *)data;
		int which = accept(fd, NULL, NULL);

		s->accepted++;
		s->open[which] = s->watch(which, on_data);
		return G_SOURCE_CONTINUE;
	}
	static gboolean on_data(gint fd, GIOCondition, gpointer data)
	{
		const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2"
				      "\r\n\r\nok";
		Server *s = (Server *)data;
		char buffer[4096];

		if (read(fd, buffer, sizeof(buffer)) <= 0) {
			s->closed++;
			s->end(fd);
			return G_SOURCE_REMOVE;
		}
		if (!s->silent.count(fd))
			EXPECT_EQ((ssize_t)sizeof(answer) - 1,
				  write(fd, answer, sizeof(answer) - 1));
		return G_SOURCE_CONTINUE;
	}
};

struct Client {
	GMainContext *context = g_main_context_new();
	struct bb_executor *e = bb_executor_new(context, nullptr);
	std::vector<enum bb_execution_end> ends;
	std::vector<int64_t> opened;
	unsigned int closed_idle = 0;

	~Client()
	{
		bb_executor_delete(e);
		g_main_context_unref(context);
	}
	struct bb_execution *start(const Server &s, int64_t timeout_us,
				   bool once = false)
	{
		struct bb_execution_request r = {};

		r.url = s.url.c_str();
		r.target = { "/x", 2 };
		r.method = { "GET", 3 };
		r.timeout_us = timeout_us;
		r.max_body = 100;
		r.at_most_once = once;
		return bb_executor_start(
			e, &r,
			[](void *data, const struct bb_execution_result *x) {
				((Client *)data)->ends.push_back(x->end);
				((Client *)data)->opened.push_back(x->opened_us);
				((Client *)data)->closed_idle += x->closed_idle;
			},
			this, nullptr);
	}
	void wait(size_t nr)
	{
		while (ends.size() < nr)
			g_main_context_iteration(context, TRUE);
	}
	// Runs the loop until the server has seen @closed connections close, or
	// for about 1 s.
	void wait_for_closes(const Server &s, int closed)
	{
		for (int i = 0; i < 1000 && s.closed < closed; i++) {
			g_main_context_iteration(context, FALSE);
			g_usleep(1000);
		}
	}
};

const int64_t kLongTimeoutUs = 20000000;

} // namespace

// Guards against reusing idle connections after a request timed out on one of
// the same age while another connection works, and against closing connections
// that have answered since, are in use, are newer, or lead to another backend
// server.
TEST(Connections, ClosesIdleOnesThatDidNotAnswerSince)
{
	Connections x;
	struct bb_connection_use third, busy = {}, sixth;

	x.used(1, 10, 20);
	x.used(2, 10, 30);
	third = x.used(3, 10, 40);
	x.used(4, 10, 40, "b");
	x.used(5, 10, 40);
	bb_connections_use(x.c, 5, &x, &busy);
	sixth = bb_connections_opened(x.c, 6, "a", &x, 110);
	bb_connections_established(x.c, &sixth, 1);
	bb_connections_release(x.c, &sixth, &x);
	bb_connections_answered(x.c, &third, "a", 120);
	bb_connections_closed(x.c, 1);
	EXPECT_EQ(1u, bb_connections_request_timed_out(x.c, "a", 100));
	EXPECT_EQ(std::set<int>{ 2 }, x.closed);
	EXPECT_FALSE(bb_connections_avoid_reuse(x.c, "a"));
	// A connection whose close was requested is not counted again.
	EXPECT_EQ(0u, bb_connections_request_timed_out(x.c, "a", 100));
}

// Guards against closing all connections because the backend server itself is
// slow, and against ignoring an answer on another connection that comes only
// after the time-out.
TEST(Connections, WaitsForAnAnswerOnAnother)
{
	Connections x;
	struct bb_connection_use fourth;

	x.used(1, 10, 20);
	x.used(2, 10, 30);
	x.used(3, 10, 40);
	bb_connections_closed(x.c, 1);
	EXPECT_EQ(0u, bb_connections_request_timed_out(x.c, "a", 100));
	EXPECT_TRUE(x.closed.empty());
	EXPECT_TRUE(bb_connections_avoid_reuse(x.c, "a"));
	fourth = bb_connections_opened(x.c, 4, "a", &x, 200);
	EXPECT_EQ(2u, bb_connections_answered(x.c, &fourth, "a", 210));
	EXPECT_EQ((std::set<int>{ 2, 3 }), x.closed);
	EXPECT_FALSE(bb_connections_avoid_reuse(x.c, "a"));
	// The state of a backend server is dropped with its last connection.
	for (int fd : { 2, 3, 4 })
		bb_connections_closed(x.c, fd);
	EXPECT_EQ(0u, bb_connections_request_timed_out(x.c, "a", 300));
	EXPECT_FALSE(bb_connections_avoid_reuse(x.c, "a"));
}

// Guards against closing a connection in use as idle, because a request ended
// whose own connection had been closed and had the same descriptor.
TEST(Connections, DescriptorInUseAgainStaysBusy)
{
	Connections x;
	struct bb_connection_use first;
	int one, other;

	first = bb_connections_opened(x.c, 1, "a", &one, 10);
	bb_connections_closed(x.c, 1);
	bb_connections_opened(x.c, 1, "a", &other, 50);
	bb_connections_release(x.c, &first, &one);
	x.used(2, 60, 130);
	bb_connections_request_timed_out(x.c, "a", 100);
	EXPECT_TRUE(x.closed.empty());
}

// Guards against closing a connection in use as idle, because its request was
// sent before on another one that had the same descriptor.
TEST(Connections, RequestSentAgainOnTheSameDescriptorStaysBusy)
{
	Connections x;
	struct bb_connection_use use = {};
	int request;

	x.used(1, 10, 20);
	bb_connections_use(x.c, 1, &request, &use);
	EXPECT_EQ(10, use.opened_us);
	bb_connections_closed(x.c, 1);
	use = bb_connections_opened(x.c, 1, "a", &request, 50);
	bb_connections_established(x.c, &use, 1);
	bb_connections_use(x.c, 1, &request, &use);
	EXPECT_EQ(50, use.opened_us);
	EXPECT_EQ(0u, bb_connections_close_unsolicited(x.c, "a", [](int) {
			  return true;
		  }));
	bb_connections_release(x.c, &use, &request);
	EXPECT_EQ(1u, bb_connections_close_unsolicited(x.c, "a", [](int) {
			  return true;
		  }));
}

// Guards against an answer that counts for a later connection with the same
// descriptor, which then is not closed although it has gone silent.
TEST(Connections, AnswerCountsForItsOwnConnectionOnly)
{
	Connections x;
	struct bb_connection_use first, second;

	first = bb_connections_opened(x.c, 1, "a", &x, 10);
	bb_connections_closed(x.c, 1);
	second = bb_connections_opened(x.c, 1, "a", &x, 50);
	bb_connections_established(x.c, &second, 1);
	bb_connections_release(x.c, &second, &x);
	bb_connections_answered(x.c, &first, "a", 110);
	EXPECT_EQ(1u, bb_connections_request_timed_out(x.c, "a", 100));
}

// Guards against a record of a connection that was never established, whose
// descriptor may belong to another module by now.
TEST(Connections, FailedConnectionIsForgotten)
{
	Connections x;
	struct bb_connection_use failed, good;
	int one, other;

	failed = bb_connections_opened(x.c, 1, "a", &one, 10);
	good = bb_connections_opened(x.c, 2, "a", &other, 10);
	bb_connections_established(x.c, &good, 1);
	bb_connections_release(x.c, &failed, &one);
	bb_connections_release(x.c, &good, &other);
	EXPECT_EQ(1u, bb_connections_close_unsolicited(x.c, "a", [](int) {
			  return true;
		  }));
	EXPECT_EQ(std::set<int>{ 2 }, x.closed);
}

// Guards against attributing a response to another connection: the time of the
// opening of its connection shows whether a backend server was restarted.
TEST(Executor, ReportsWhenTheConnectionWasOpened)
{
	Client c;
	Server s(c.context);

	for (bool once : { false, false, true, false }) {
		c.start(s, kLongTimeoutUs, once);
		c.wait(c.ends.size() + 1);
	}
	ASSERT_EQ(2, s.accepted);
	EXPECT_GT(c.opened[0], 0);
	EXPECT_EQ(c.opened[0], c.opened[1]);
	EXPECT_GT(c.opened[2], c.opened[0]);
	EXPECT_EQ(c.opened[0], c.opened[3]);
}

// Guards against one timed-out request for each idle connection when all open
// ones stopped answering at the same time and new ones work.
TEST(Executor, OneSilentRequestEndsAllSilentConnections)
{
	Client c;
	Server s(c.context);

	for (int i = 0; i < 4; i++)
		c.start(s, kLongTimeoutUs);
	c.wait(4);
	ASSERT_EQ(4, s.accepted);
	s.silence_all();
	c.start(s, 100000);
	c.wait(5);
	EXPECT_EQ(BB_EXECUTION_TIMEOUT, c.ends[4]);
	for (int i = 0; i < 3; i++) {
		c.start(s, kLongTimeoutUs);
		c.wait(6 + i);
		EXPECT_EQ(BB_EXECUTION_DONE, c.ends[5 + i]);
	}
	EXPECT_EQ(3u, c.closed_idle);
	EXPECT_EQ(5, s.accepted);
	c.wait_for_closes(s, 4);
	EXPECT_EQ(4, s.closed);
}

// The same fault, when the entry node gives up before the time-out and the
// answer on another connection belongs to a request that must run at most once.
TEST(Executor, GivenUpRequestEndsSilentConnections)
{
	Client c;
	Server s(c.context);
	struct bb_execution *x;

	for (int i = 0; i < 3; i++)
		c.start(s, kLongTimeoutUs);
	c.wait(3);
	s.silence_all();
	x = c.start(s, kLongTimeoutUs);
	c.start(s, kLongTimeoutUs, true);
	c.wait(4);
	EXPECT_EQ(BB_EXECUTION_DONE, c.ends[3]);
	EXPECT_EQ(2u, bb_executor_cancel_timed_out(x));
	c.start(s, kLongTimeoutUs);
	c.wait(5);
	EXPECT_EQ(BB_EXECUTION_DONE, c.ends[4]);
	EXPECT_EQ(5, s.accepted);
	c.wait_for_closes(s, 4);
}

// Guards against closing idle connections because a request was cancelled, or
// because the backend server is slow on all connections.
TEST(Executor, KeepsConnectionsWithoutEvidence)
{
	Client c;
	Server s(c.context);
	struct bb_execution *x;

	for (int i = 0; i < 3; i++)
		c.start(s, kLongTimeoutUs);
	c.wait(3);
	s.silence_all();
	x = c.start(s, kLongTimeoutUs);
	bb_executor_cancel(x);
	c.start(s, 100000);
	c.wait(4);
	EXPECT_EQ(BB_EXECUTION_TIMEOUT, c.ends[3]);
	EXPECT_EQ(0u, c.closed_idle);
	EXPECT_EQ(3, s.accepted);
}
