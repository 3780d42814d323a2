// How the executor classifies responses, over real sockets.
#include <arpa/inet.h>
#include <glib.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstring>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "listening_socket.h"

extern "C" {
#include "libnode/executor.h"
}

namespace
{

const struct bb_dialect kDialect = [] {
	struct bb_dialect d = {};

	d.deadline = "X-Deadline";
	d.request_id = "X-Id";
	d.backend_id = "X-Target";
	d.not_executed = "X-Not-Run";
	d.close_ends_body = true;
	return d;
}();

// Answers one request with the given bytes, then closes or resets the
// connection.
struct Server {
	int fd;
	std::string url, request;
	std::thread thread;

	Server(const std::string &answer, bool reset)
	{
		fd = listening_socket(&url);
		thread = std::thread([this, answer, reset] {
			struct linger now = { 1, 0 };
			char buffer[4096];
			int c = accept(fd, nullptr, nullptr);

			while (request.find("\r\n\r\n") == std::string::npos) {
				ssize_t n = recv(c, buffer, sizeof(buffer), 0);

				if (n <= 0)
					break;
				request.append(buffer, (size_t)n);
			}
			send(c, answer.data(), answer.size(), MSG_NOSIGNAL);
			if (reset) {
				usleep(50000);
				setsockopt(c, SOL_SOCKET, SO_LINGER, &now,
					   sizeof(now));
			}
			close(c);
		});
	}
	~Server()
	{
		thread.join();
		close(fd);
	}
};

struct Result {
	bool done = false;
	enum bb_execution_end end = BB_EXECUTION_END_COUNT;
	unsigned int status = 0;
	std::string body;
};

void keep_result(void *data, const struct bb_execution_result *x)
{
	auto *to = (Result *)data;

	to->done = true;
	to->end = x->end;
	to->status = x->status;
	to->body.assign(x->body.data ? x->body.data : "", x->body.size);
}

Result execute(const std::string &answer, bool reset = false,
	       const struct bb_dialect *dialect = &kDialect,
	       std::string *request = nullptr)
{
	GMainContext *context = g_main_context_new();
	struct bb_executor *e = bb_executor_new(context, nullptr);
	struct bb_header id = { { "X-Id", 4 }, { "one", 3 } };
	Result result;

	{
		Server s(answer, reset);
		struct bb_execution_request r = {};

		r.url = s.url.c_str();
		r.target = { "/x", 2 };
		r.method = { "GET", 3 };
		r.headers = &id;
		r.headers_nr = 1;
		r.timeout_us = 10000000;
		r.max_body = 100;
		r.at_most_once = true;
		r.dialect = dialect;
		r.backend_id = "i-1";
		bb_executor_start(e, &r, keep_result, &result, nullptr);
		while (!result.done)
			g_main_context_iteration(context, TRUE);
		s.thread.join();
		s.thread = std::thread([] {});
		if (request)
			*request = s.request;
	}
	bb_executor_delete(e);
	g_main_context_unref(context);
	return result;
}

const std::string kOk = "HTTP/1.1 200 OK\r\nX-Id: one\r\n";

// A request body that its owner frees when the execution is done.
struct OwnedBody {
	std::unique_ptr<std::string> body;
	Result result;
};

void free_body(void *data, const struct bb_execution_result *x)
{
	auto *to = (OwnedBody *)data;

	to->body.reset();
	keep_result(&to->result, x);
}

} // namespace

// Guards against a body that is read after its owner has freed it, when the
// backend server answers before it has read all of it.
TEST(Executor, BodyIsNotReadAfterTheAnswer)
{
	GMainContext *context = g_main_context_new();
	struct bb_executor *e = bb_executor_new(context, nullptr);
	struct bb_header id = { { "X-Id", 4 }, { "one", 3 } };
	OwnedBody owned;

	owned.body = std::make_unique<std::string>(16u << 20, 'x');
	{
		Server s(kOk + "Content-Length: 2\r\n\r\nok", false);
		struct bb_execution_request r = {};

		r.url = s.url.c_str();
		r.target = { "/x", 2 };
		r.method = { "POST", 4 };
		r.headers = &id;
		r.headers_nr = 1;
		r.body = { owned.body->data(), owned.body->size() };
		r.timeout_us = 10000000;
		r.max_body = 100;
		r.dialect = &kDialect;
		bb_executor_start(e, &r, free_body, &owned, nullptr);
		while (!owned.result.done)
			g_main_context_iteration(context, TRUE);
	}
	while (g_main_context_iteration(context, FALSE))
		;
	EXPECT_EQ(nullptr, owned.body);
	bb_executor_delete(e);
	g_main_context_unref(context);
}

namespace
{

// A backend server that keeps its connections. @serve writes all that is sent
// after the request number @request on connection number @connection, both
// counted from 0.
struct KeepingServer {
	using Serve = std::function<void(int fd, int connection, int request)>;

	int fd;
	std::string url;
	std::atomic<int> connections{ 0 };
	std::thread thread;
	std::vector<std::thread> workers;

	explicit KeepingServer(const Serve &serve)
	{
		fd = listening_socket(&url);
		thread = std::thread([this, serve] {
			for (;;) {
				int c = accept(fd, nullptr, nullptr);
				int nr = connections;

				if (c < 0)
					break;
				connections++;
				workers.emplace_back(
					[c, nr, serve] { run(c, nr, serve); });
			}
		});
	}
	~KeepingServer()
	{
		shutdown(fd, SHUT_RDWR);
		thread.join();
		for (auto &w : workers)
			w.join();
		close(fd);
	}
	static void run(int c, int nr, const Serve &serve)
	{
		char buffer[4096];

		for (int i = 0; recv(c, buffer, sizeof(buffer), 0) > 0; i++)
			serve(c, nr, i);
		close(c);
	}
};

// Makes the close of a connection a reset, and ends the reads of
// KeepingServer::run(), which closes it.
void reset_connection(int fd)
{
	struct linger now = { 1, 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	shutdown(fd, SHUT_RD);
}

void send_text(int fd, const std::string &text)
{
	send(fd, text.data(), text.size(), MSG_NOSIGNAL);
}

// An answer with the request id @id, or without one, and the body @body.
std::string answer(const std::string &id, const std::string &body)
{
	return "HTTP/1.1 200 OK\r\n" +
	       (id.empty() ? "" : "X-Id: " + id + "\r\n") +
	       "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
	       body;
}

// Sends requests one after the other through one executor, which keeps the
// connections of those that are idempotent.
struct Caller {
	GMainContext *context = g_main_context_new();
	struct bb_executor *executor = bb_executor_new(context, nullptr);

	~Caller()
	{
		bb_executor_delete(executor);
		g_main_context_unref(context);
	}
	// @result must outlive the request.
	struct bb_execution *start(const std::string &url,
				   const std::string &id, Result *result,
				   bool once = false,
				   int64_t timeout_us = 10000000,
				   int64_t reuse_us = 0)
	{
		struct bb_header h = { { "X-Id", 4 },
				       { id.data(), id.size() } };
		struct bb_execution_request r = {};

		r.url = url.c_str();
		r.target = { "/x", 2 };
		r.method = { "GET", 3 };
		r.headers = &h;
		r.headers_nr = id.empty() ? 0 : 1;
		r.timeout_us = timeout_us;
		r.max_body = 100;
		r.at_most_once = once;
		r.reuse_us = reuse_us;
		r.dialect = &kDialect;
		return bb_executor_start(executor, &r, keep_result, result,
					 nullptr);
	}
	void wait(const Result &result)
	{
		while (!result.done)
			g_main_context_iteration(context, TRUE);
	}
	Result get(const std::string &url, const std::string &id,
		   bool once = false)
	{
		Result result;

		start(url, id, &result, once);
		wait(result);
		return result;
	}
	// A request that runs once and may use a kept connection.
	Result book(const std::string &url, const std::string &id,
		    int64_t reuse_us)
	{
		Result result;

		start(url, id, &result, true, 10000000, reuse_us);
		wait(result);
		return result;
	}
};

} // namespace

// Guards against a body without a length being rejected where the close of the
// connection is its regular end, and against a body cut off by a reset being
// passed on as complete.
TEST(Executor, ResponsesWithoutALength)
{
	const std::string head = kOk + "Connection: close\r\n\r\nbody";
	Result closed = execute(head);

	EXPECT_EQ(BB_EXECUTION_DONE, closed.end);
	EXPECT_EQ("body", closed.body);
	EXPECT_EQ(BB_EXECUTION_TRUNCATED, execute(head, true).end);
	EXPECT_EQ(BB_EXECUTION_TRUNCATED, execute(head, false, nullptr).end);
	EXPECT_EQ(BB_EXECUTION_TRUNCATED,
		  execute(kOk + "Content-Length: 9\r\n\r\nbody").end);
}

// Guards against a head that ends early being passed on as a response with
// status 0, which closes the connection of the caller without an answer.
TEST(Executor, IncompleteHeadIsNoResponse)
{
	const std::string ok = "HTTP/1.1 200 OK\r\n";
	const std::string switched = "HTTP/1.1 101 Switching Protocols\r\n"
				     "X-Id: one\r\nConnection: Upgrade\r\n";

	for (const std::string &answer :
	     { ok, kOk, kOk + "Content-Length: 0\r\n",
	       kOk + "Content-Length: 0\r\n\r", kOk + "Content-Len",
	       "HTTP/1.1 100 Continue\r\n\r\n" + kOk,
	       std::string("HTTP/1.1 503 Busy\r\nX-Id: one\r\n"
			   "X-Not-Run: 1\r\n"),
	       switched + "\r\nbody",
	       switched + "Content-Length: 0\r\n\r\n" }) {
		for (const struct bb_dialect *d :
		     { &kDialect, (const struct bb_dialect *)nullptr }) {
			Result r = execute(answer, false, d);

			EXPECT_EQ(BB_EXECUTION_BROKEN, r.end) << answer;
			EXPECT_EQ(0u, r.status) << answer;
		}
	}
}

// Guards against a response that does not fit into a RESULT, so that the entry node
// gets none and its caller waits until the deadline.
TEST(Executor, LargeHeaderIsAFailure)
{
	const std::string end = "\r\nContent-Length: 0\r\n\r\n";
	const std::string name(BB_HEADER_NAME_MAX, 'n');
	const std::string value(BB_HEADER_VALUE_MAX, 'v');

	EXPECT_EQ(BB_EXECUTION_DONE,
		  execute(kOk + name + ": " + value + end).end);
	EXPECT_EQ(BB_EXECUTION_TOO_LARGE,
		  execute(kOk + name + "n: 1" + end).end);
	EXPECT_EQ(BB_EXECUTION_TOO_LARGE,
		  execute(kOk + "X: " + value + "v" + end).end);
	// Only a response to this request tells that it ran.
	EXPECT_EQ(BB_EXECUTION_FOREIGN,
		  execute("HTTP/1.1 200 OK\r\nX: " + value + "v" + end).end);
	EXPECT_EQ(BB_EXECUTION_REFUSED,
		  execute(kOk + "X-Not-Run: 1\r\nX: " + value + "v" + end).end);
	EXPECT_EQ(BB_EXECUTION_BROKEN,
		  execute(kOk + "X: " + value + "v\r\n").end);
}

// Guards against a late response to an earlier request being passed on as the
// response to this one.
TEST(Executor, ResponseToAnotherRequest)
{
	EXPECT_EQ(BB_EXECUTION_FOREIGN,
		  execute("HTTP/1.1 200 OK\r\nX-Id: two\r\n"
			  "Content-Length: 0\r\n\r\n")
			  .end);
	EXPECT_EQ(BB_EXECUTION_DONE,
		  execute(kOk + "Content-Length: 0\r\n\r\n").end);
	// Also where only a trailer or an interim response tells.
	EXPECT_EQ(BB_EXECUTION_FOREIGN,
		  execute(kOk + "Transfer-Encoding: chunked\r\n\r\n"
				"0\r\nX-Id: two\r\n\r\n")
			  .end);
	EXPECT_EQ(BB_EXECUTION_FOREIGN,
		  execute("HTTP/1.1 103 Early Hints\r\nX-Id: two\r\n\r\n" +
			  kOk + "Content-Length: 0\r\n\r\n")
			  .end);
}

// Guards against bytes of nobody, which look like an answer but have no request
// id or that of several requests, being passed on as the answer, and against
// their word that the request was not run.
TEST(Executor, ResponseWithoutTheRequestId)
{
	const std::string ok = "HTTP/1.1 200 OK\r\n";
	const std::string length = "Content-Length: 0\r\n\r\n";

	EXPECT_EQ(BB_EXECUTION_FOREIGN, execute(ok + length).end);
	EXPECT_EQ(BB_EXECUTION_FOREIGN,
		  execute(kOk + "X-Id: two\r\n" + length).end);
	EXPECT_EQ(
		BB_EXECUTION_FOREIGN,
		execute("HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n" + length).end);
	EXPECT_EQ(BB_EXECUTION_FOREIGN,
		  execute("HTTP/1.1 421 Misdirected Request\r\n" + length).end);
	// The id of a trailer comes too late, that of an interim response is
	// not the answer's.
	EXPECT_EQ(BB_EXECUTION_FOREIGN,
		  execute(ok + "Transfer-Encoding: chunked\r\n\r\n"
			       "0\r\nX-Id: one\r\n\r\n")
			  .end);
	EXPECT_EQ(BB_EXECUTION_FOREIGN,
		  execute("HTTP/1.1 103 Early Hints\r\nX-Id: one\r\n\r\n" + ok +
			  length)
			  .end);
	// An interim response needs no id, nor does any where there is none to
	// repeat.
	EXPECT_EQ(BB_EXECUTION_DONE,
		  execute("HTTP/1.1 100 Continue\r\n\r\n" + kOk + length).end);
	EXPECT_EQ(BB_EXECUTION_DONE, execute(ok + length, false, nullptr).end);
}

namespace
{

// A second request gets the answer @other. Its own answer follows on the same
// connection after the third request, unless that comes on a new one.
void expect_closed_after(const std::string &other)
{
	KeepingServer s([&](int fd, int connection, int request) {
		const std::string first[] = { answer("one", "1"), other,
					      answer("two", "2") };

		if (!connection && request < 3)
			send_text(fd, first[request]);
		else
			send_text(fd, answer("three", "3"));
	});
	Caller c;

	EXPECT_EQ(BB_EXECUTION_DONE, c.get(s.url, "one").end);
	EXPECT_EQ(BB_EXECUTION_FOREIGN, c.get(s.url, "two").end);
	Result third = c.get(s.url, "three");
	EXPECT_EQ(BB_EXECUTION_DONE, third.end);
	EXPECT_EQ("3", third.body);
	EXPECT_EQ(2, s.connections);
}

} // namespace

// Guards against a connection that is used again after an answer to another
// request, and so stays one answer behind: each later request on it fails while
// its backend server answers it.
TEST(Executor, ConnectionIsClosedAfterAForeignAnswer)
{
	expect_closed_after(answer("one", "1"));
}

// Guards against a connection that stays in use after an answer without the
// request id, on which the answer to the request is still due.
TEST(Executor, ConnectionIsClosedAfterAnAnswerWithoutId)
{
	expect_closed_after(answer("", "stray"));
}

// Guards against a request that is sent on a connection on which bytes arrived
// while it was idle, and that takes them for its answer.
TEST(Executor, IdleConnectionThatGotBytesIsNotUsed)
{
	// Requests without an id, as to a registry, would take the bytes for
	// their answer.
	for (std::string id : { "two", "" }) {
		std::atomic<bool> sent{ false };
		KeepingServer s([&](int fd, int connection, int) {
			if (connection) {
				send_text(fd, answer(id, "2"));
				return;
			}
			send_text(fd, answer("", "1"));
			usleep(50000);
			send_text(fd, answer("", "1"));
			sent = true;
		});
		Caller c;

		EXPECT_EQ(BB_EXECUTION_DONE, c.get(s.url, "").end);
		while (!sent)
			usleep(1000);
		Result second = c.get(s.url, id);
		EXPECT_EQ(BB_EXECUTION_DONE, second.end);
		EXPECT_EQ("2", second.body);
		EXPECT_EQ(2, s.connections);
	}
}

namespace
{

// A connected pair of sockets with a byte to be read at either end.
struct UnreadPair {
	int ends[2] = { -1, -1 };

	UnreadPair()
	{
		struct sockaddr_in a = {};
		socklen_t size = sizeof(a);
		std::string url;
		int listening;

		/* Takes the lowest free number. */
		ends[0] = socket(AF_INET, SOCK_STREAM, 0);
		listening = listening_socket(&url);
		getsockname(listening, (struct sockaddr *)&a, &size);
		EXPECT_EQ(0, connect(ends[0], (struct sockaddr *)&a, size));
		ends[1] = accept(listening, nullptr, nullptr);
		close(listening);
		for (int fd : ends)
			EXPECT_EQ(1, send(fd, "x", 1, MSG_NOSIGNAL));
	}
	~UnreadPair()
	{
		for (int fd : ends)
			close(fd);
	}
	bool is_intact() const
	{
		char byte;

		for (int fd : ends) {
			if (recv(fd, &byte, 1, MSG_PEEK) != 1)
				return false;
		}
		return true;
	}
};

// A listening socket whose queue of connections is full, so that no further
// one is established.
struct FullListener {
	std::string url;
	int fd = listening_socket(&url);
	std::vector<int> waiting;

	FullListener()
	{
		struct sockaddr_in a = {};
		socklen_t size = sizeof(a);

		getsockname(fd, (struct sockaddr *)&a, &size);
		listen(fd, 0);
		for (int i = 0; i < 4; i++) {
			waiting.push_back(socket(
				AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
			connect(waiting.back(), (struct sockaddr *)&a, size);
		}
	}
	~FullListener()
	{
		close(fd);
		for (int w : waiting)
			close(w);
	}
};

} // namespace

// Guards against a socket of another module being replaced. libcurl closes the
// socket of a connection that was never established without its callback; the
// descriptor then belongs to whoever opens one next, such as libzmq, which ends
// the process when its wake-up descriptor has gone.
TEST(Executor, DescriptorOfAFailedConnectionIsForgotten)
{
	enum { TIMED_OUT, CANCELLED, CANCELLED_TIMED_OUT };

	for (int end : { TIMED_OUT, CANCELLED, CANCELLED_TIMED_OUT }) {
		FullListener server;
		Caller caller;
		Result first, second;
		struct bb_execution *x =
			caller.start(server.url, "", &first, false, 200000);

		if (end == TIMED_OUT) {
			caller.wait(first);
			EXPECT_EQ(BB_EXECUTION_NOT_SENT, first.end);
		} else {
			for (int i = 0; i < 20; i++)
				g_main_context_iteration(caller.context, FALSE);
			ASSERT_FALSE(first.done);
			if (end == CANCELLED)
				bb_executor_cancel(x);
			else
				bb_executor_cancel_timed_out(x);
		}
		std::vector<UnreadPair> pairs(4);

		caller.start(server.url, "", &second);
		for (const UnreadPair &p : pairs)
			EXPECT_TRUE(p.is_intact()) << end;
	}
}

// Guards against an answer without a length that this end cuts off, and that
// is passed on as complete, after its request was sent again on a new connection
// with the descriptor of the former one.
TEST(Executor, AnswerToARequestSentAgainIsNotCutOff)
{
	const std::string piece = "0123456789";
	std::atomic<int> pieces{ 0 };
	KeepingServer s([&](int fd, int connection, int request) {
		if (connection == 0 && request == 0) {
			send_text(fd, answer("one", "1"));
		} else if (connection == 0) {
			reset_connection(fd);
		} else if (connection == 1) {
			send_text(fd, kOk + "Connection: close\r\n\r\n");
			while (pieces < 8) {
				send_text(fd, piece);
				pieces++;
				usleep(20000);
			}
			shutdown(fd, SHUT_RDWR);
		} else {
			send_text(fd, answer("two", "2"));
		}
	});
	Caller c;
	Result first;

	EXPECT_EQ(BB_EXECUTION_DONE, c.get(s.url, "one").end);
	c.start(s.url, "one", &first);
	while (!pieces && !first.done) {
		g_main_context_iteration(c.context, FALSE);
		usleep(1000);
	}
	// Unread bytes of the first answer wait whenever a request starts.
	for (int seen = 2; seen < 8; seen++) {
		while (pieces < seen)
			usleep(1000);
		c.get(s.url, "two");
	}
	c.wait(first);
	EXPECT_EQ(BB_EXECUTION_DONE, first.end);
	EXPECT_EQ(8 * piece.size(), first.body.size());
}

// Guards against "not sent" for a request that a backend server got on a kept
// connection before both failed, and that could not be sent again.
TEST(Executor, RequestThatCannotBeSentAgainMayHaveRun)
{
	KeepingServer *server = nullptr;
	KeepingServer s([&](int fd, int, int request) {
		if (request == 0) {
			send_text(fd, answer("one", "1"));
			return;
		}
		// No new connection is accepted from now on.
		shutdown(server->fd, SHUT_RDWR);
		reset_connection(fd);
	});
	Caller c;

	server = &s;
	EXPECT_EQ(BB_EXECUTION_DONE, c.get(s.url, "one").end);
	EXPECT_EQ(BB_EXECUTION_BROKEN, c.get(s.url, "two").end);
}

// Guards against an answer of a backend server in trouble being passed on with
// a status that HTTP does not have, with a length and without one.
TEST(Executor, StatusOutsideOfHttpIsAFailure)
{
	for (const char *status : { "000", "099", "199 ", "600", "999", "1000",
				    "20", "abc", "-10" }) {
		for (const char *end : { "Content-Length: 4\r\n\r\nbody",
					 "Connection: close\r\n\r\nbody" }) {
			Result r = execute("HTTP/1.1 " + std::string(status) +
					   " X\r\nX-Id: one\r\n" + end);

			EXPECT_NE(BB_EXECUTION_DONE, r.end) << status << end;
			EXPECT_NE(BB_EXECUTION_NOT_SENT, r.end) << status;
			EXPECT_NE(BB_EXECUTION_REFUSED, r.end) << status;
		}
	}
	for (const char *status : { "200", "299", "404", "503", "599" })
		EXPECT_EQ(BB_EXECUTION_DONE,
			  execute("HTTP/1.1 " + std::string(status) +
				  " X\r\nX-Id: one\r\nContent-Length: 4\r\n"
				  "\r\nbody")
				  .end)
			<< status;
}

// Guards against the word of such an answer that the request did not run.
TEST(Executor, RefusalOutsideOfHttpMayHaveRun)
{
	for (const char *status : { "000", "600", "999" })
		EXPECT_EQ(BB_EXECUTION_BROKEN,
			  execute("HTTP/1.1 " + std::string(status) +
				  " X\r\nX-Id: one\r\nX-Not-Run: 1\r\n"
				  "Content-Length: 0\r\n\r\n")
				  .end)
			<< status;
}

// Guards against bookings and health checks that meet what is still due on a
// connection of a lookup, or leave their own to the next lookup. Health checks
// have no id by which their answer could be told.
TEST(Executor, RequestsThatRunOnceShareNoConnection)
{
	std::atomic<int> sent{ 0 };
	KeepingServer s([&](int fd, int connection, int) {
		std::string body = std::to_string(connection);

		send_text(fd, answer("", body));
		send_text(fd, answer("", "second"));
		sent++;
	});
	Caller c;

	for (int i = 0; i < 6; i++) {
		EXPECT_EQ(std::to_string(i), c.get(s.url, "", i % 2).body);
		while (sent <= i)
			usleep(1000);
	}
	EXPECT_EQ(6, s.connections);
}

// Guards against a new connection for each booking where kept ones may be used,
// and against one on a connection that may have been forgotten.
TEST(Executor, RequestThatRunsOnceUsesARecentConnection)
{
	const int64_t any_us = 1000000000;
	KeepingServer s([&](int fd, int connection, int) {
		send_text(fd, answer("one", std::to_string(connection)));
	});
	Caller c;

	EXPECT_EQ("0", c.book(s.url, "one", any_us).body);
	EXPECT_EQ("0", c.book(s.url, "one", any_us).body);
	EXPECT_EQ("0", c.get(s.url, "one").body);
	EXPECT_EQ("0", c.book(s.url, "one", any_us).body);
	usleep(2000);
	EXPECT_EQ("1", c.book(s.url, "one", 1).body);
	EXPECT_EQ(2, s.connections);
}

// Guards against a booking that runs twice because its kept connection was
// closed without an answer, with another one to send it on or without.
TEST(Executor, RequestThatRunsOnceIsNotSentAgain)
{
	for (int kept : { 1, 2 }) {
		std::atomic<int> received{ 0 };
		KeepingServer s([&](int fd, int, int request) {
			received++;
			if (request == 0) {
				while (received < kept)
					usleep(1000);
				send_text(fd, answer("one", "1"));
			} else {
				reset_connection(fd);
			}
		});
		Caller c;
		std::vector<Result> first((size_t)kept);

		for (Result &r : first)
			c.start(s.url, "one", &r);
		for (Result &r : first)
			c.wait(r);
		EXPECT_EQ(BB_EXECUTION_BROKEN,
			  c.book(s.url, "one", 1000000000).end);
		EXPECT_EQ(kept, s.connections);
		EXPECT_EQ(kept + 1, received);
	}
}

// Guards against a booking on a connection that was idle for too long, which
// libcurl prefers to one that answered a moment ago.
TEST(Executor, RequestThatRunsOnceLeavesAnOldConnection)
{
	std::atomic<int> received{ 0 };
	KeepingServer s([&](int fd, int connection, int request) {
		received++;
		while (request == 0 && received < 2)
			usleep(1000);
		if (request == 0 && connection == 1)
			usleep(100000);
		send_text(fd, answer("one", std::to_string(connection)));
	});
	Caller c;
	Result first, second;

	c.start(s.url, "one", &first);
	c.start(s.url, "one", &second);
	c.wait(first);
	c.wait(second);
	Result booking = c.book(s.url, "one", 50000);

	EXPECT_EQ(BB_EXECUTION_DONE, booking.end);
	EXPECT_NE("0", booking.body);
}

// Guards against a second copy of an answer, or a part of one, that comes right
// behind the answer and is taken for the next one, whatever ends the answer.
TEST(Executor, BytesBehindAnAnswerAreNotTheNextOne)
{
	const std::string ends[] = {
		"Content-Length: 1\r\n\r\n1",
		"Transfer-Encoding: chunked\r\n\r\n1\r\n1\r\n0\r\n\r\n",
	};

	for (auto &end : ends)
		for (size_t part : { 1, 8, 1000 }) {
			const std::string all =
				"HTTP/1.1 200 OK\r\nX-Id: one\r\n" + end;
			std::atomic<bool> sent{ false };
			KeepingServer s([&](int fd, int connection, int) {
				if (connection || sent) {
					send_text(fd, answer("two", "2"));
					return;
				}
				send_text(fd, all + all.substr(0, part));
				usleep(20000);
				if (part < all.size())
					send_text(fd, all.substr(part));
				sent = true;
			});
			Caller c;

			EXPECT_EQ(BB_EXECUTION_DONE, c.get(s.url, "one").end);
			while (!sent)
				usleep(1000);
			Result second = c.get(s.url, "two");
			EXPECT_EQ(BB_EXECUTION_DONE, second.end) << end << part;
			EXPECT_EQ("2", second.body) << end << part;
		}
}

namespace
{

// What it does after an answer that it gave before it had read the body.
enum Then { READS_ON, READS_NO_MORE, CLOSES, THEN_COUNT };

// Answers before it has read a long body, and keeps what it gets then.
struct EarlyServer {
	const std::string response;
	const Then then;
	std::atomic<bool> released{ false };
	int fd;
	std::string url;
	std::atomic<int> connections{ 0 };
	std::vector<std::string> received{ 2 };
	std::thread thread;

	EarlyServer(const std::string &response, Then then)
	    : response(response), then(then)
	{
		fd = listening_socket(&url);
		thread = std::thread([this] {
			for (int c; (c = accept(fd, nullptr, nullptr)) >= 0;)
				serve(c, connections++);
		});
	}
	~EarlyServer()
	{
		stop();
		close(fd);
	}
	void stop()
	{
		released = true;
		shutdown(fd, SHUT_RDWR);
		if (thread.joinable())
			thread.join();
	}
	void serve(int c, int nr)
	{
		std::string &all = received[(size_t)MIN(nr, 1)];
		char buffer[65536];
		ssize_t n;

		while (all.find("\r\n\r\n") == std::string::npos) {
			n = recv(c, buffer, 1, 0);
			if (n <= 0)
				break;
			all.append(buffer, (size_t)n);
		}
		send_text(c, response);
		usleep(50000);
		while (then == READS_NO_MORE && !released)
			usleep(1000);
		while (then == READS_ON &&
		       (n = recv(c, buffer, sizeof(buffer), 0)) > 0)
			all.append(buffer, (size_t)n);
		close(c);
	}
};

} // namespace

// Guards against an answer that is lost because the backend server gave it before
// it had read a long body, and against other bytes where the rest is due.
TEST(Executor, AnswerBeforeALongBodyIsKept)
{
	const std::string body(8000000, 'b');
	const struct bb_header id = { { "X-Id", 4 }, { "one", 3 } };

	for (const char *status : { "200 OK", "413 Too Large", "503 Busy" })
		for (int i = 0; i < 2 * THEN_COUNT; i++) {
			const Then then = (Then)(i / 2);
			EarlyServer s("HTTP/1.1 " + std::string(status) +
					      "\r\nX-Id: one\r\n"
					      "Content-Length: 1\r\n\r\n1",
				      then);
			struct bb_execution_request r = {};
			Result first, second;
			size_t at, end;
			Caller c;

			r.url = s.url.c_str();
			r.target = { "/x", 2 };
			r.method = { "POST", 4 };
			r.headers = &id;
			r.headers_nr = 1;
			r.body = { body.data(), body.size() };
			r.timeout_us = then == READS_NO_MORE ? 500000 :
							       10000000;
			r.max_body = 100;
			r.at_most_once = i % 2;
			r.dialect = &kDialect;
			bb_executor_start(c.executor, &r, keep_result, &first,
					  nullptr);
			c.wait(first);
			EXPECT_EQ(BB_EXECUTION_DONE, first.end) << status << i;
			EXPECT_EQ("1", first.body) << status << i;
			EXPECT_EQ(1, s.connections) << status << i;
			if (then != READS_ON)
				continue;
			c.start(s.url, "one", &second, false, 200000);
			c.wait(second);
			bb_executor_delete(c.executor);
			c.executor = bb_executor_new(c.context, nullptr);
			s.stop();
			at = s.received[0].find("\r\n\r\n") + 4;
			end = s.received[0].find_first_not_of('b', at);
			EXPECT_TRUE(end == std::string::npos ||
				    end == at + body.size())
				<< status << i;
		}
}

// Guards against a refusal by the backend server that counts as run, and
// against a plain 503, after which the request may have run, that counts as a
// refusal.
TEST(Executor, RefusalsOfTheBackendServer)
{
	const std::string length = "Content-Length: 0\r\n\r\n";
	const std::string busy = "HTTP/1.1 503 Busy\r\nX-Id: one\r\n";
	const std::string other =
		"HTTP/1.1 421 Misdirected Request\r\nX-Id: one\r\n";

	EXPECT_EQ(BB_EXECUTION_REFUSED,
		  execute(busy + "X-Not-Run: 1\r\n" + length).end);
	EXPECT_EQ(BB_EXECUTION_DONE, execute(busy + length).end);
	EXPECT_EQ(BB_EXECUTION_MISDIRECTED, execute(other + length).end);
	EXPECT_EQ(BB_EXECUTION_DONE,
		  execute(other + length, false, nullptr).end);
}

// Guards against a request without the headers that tell the backend server
// which one it is for and how much time is left.
TEST(Executor, SendsTheDialectsHeaders)
{
	std::string request;

	execute(kOk + "Content-Length: 0\r\n\r\n", false, &kDialect, &request);
	EXPECT_NE(std::string::npos, request.find("X-Target: i-1\r\n"));
	EXPECT_NE(std::string::npos, request.find("X-Deadline: 10000\r\n"));
	EXPECT_NE(std::string::npos, request.find("X-Id: one\r\n"));
}

namespace
{

// Accepts connections and sends @first, then @repeat without end on each, until
// the peer closes it. Counts the bytes that were taken.
struct EndlessServer {
	int fd;
	std::string url;
	std::atomic<size_t> sent{ 0 }, connections{ 0 }, ended{ 0 };
	std::thread thread;
	std::vector<std::thread> workers;

	EndlessServer(const std::string &first, const std::string &repeat,
		      int accepts)
	{
		fd = listening_socket(&url);
		thread = std::thread([this, first, repeat, accepts] {
			for (int i = 0; i < accepts; i++) {
				int c = accept(fd, nullptr, nullptr);

				connections++;
				workers.emplace_back([this, c, first, repeat] {
					flood(c, first, repeat);
				});
			}
		});
	}
	~EndlessServer()
	{
		thread.join();
		for (auto &w : workers)
			w.join();
		close(fd);
	}
	void flood(int c, const std::string &first, const std::string &repeat)
	{
		char buffer[4096];
		std::string block;

		if (recv(c, buffer, sizeof(buffer), 0) > 0)
			send(c, first.data(), first.size(), MSG_NOSIGNAL);
		while (block.size() < 65536)
			block += repeat;
		for (;;) {
			ssize_t n = send(c, block.data(), block.size(),
					 MSG_NOSIGNAL);

			if (n <= 0)
				break;
			sent += (size_t)n;
		}
		close(c);
		ended++;
	}
};

// Executes @nr requests at once; returns how they ended.
std::vector<enum bb_execution_end> execute_all(const std::string &url, int nr,
					       size_t max_body)
{
	GMainContext *context = g_main_context_new();
	struct bb_executor *e = bb_executor_new(context, nullptr);
	std::vector<enum bb_execution_end> ends;

	for (int i = 0; i < nr; i++) {
		struct bb_execution_request r = {};

		r.url = url.c_str();
		r.target = { "/x", 2 };
		r.method = { "GET", 3 };
		r.timeout_us = 10000000;
		r.max_body = max_body;
		r.at_most_once = true;
		r.dialect = &kDialect;
		bb_executor_start(
			e, &r,
			[](void *data, const struct bb_execution_result *x) {
				((std::vector<enum bb_execution_end> *)data)
					->push_back(x->end);
			},
			&ends, nullptr);
	}
	while (ends.size() < (size_t)nr)
		g_main_context_iteration(context, TRUE);
	bb_executor_delete(e);
	g_main_context_unref(context);
	return ends;
}

// Bytes that the sockets' buffers may take beyond what the executor keeps.
constexpr size_t kSocketBytes = 16u << 20;

} // namespace

// Guards against bytes without end in a head, in any form, that are read until
// the deadline and fill the memory of the node.
TEST(Executor, EndlessHeadIsEnded)
{
	const struct {
		const char *first, *repeat;
	} heads[] = {
		{ "HTTP/1.1 200 OK\r\n", "X-More: of the same\r\n" },
		{ "HTTP/1.1 200 OK\r\nX-Long: ", "x" },
		{ "", "HTTP/1.1 100 Continue\r\n\r\n" },
		{ "", "garbage" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
		  "X-Trailer: more\r\n" },
	};

	for (auto &h : heads) {
		gint64 began_us = g_get_monotonic_time();
		EndlessServer s(h.first, h.repeat, 1);
		auto ends = execute_all(s.url, 1, 1u << 20);

		EXPECT_TRUE(ends[0] == BB_EXECUTION_BROKEN ||
			    ends[0] == BB_EXECUTION_TRUNCATED)
			<< h.first << h.repeat << " "
			<< bb_execution_end_string[ends[0]];
		EXPECT_LT(g_get_monotonic_time() - began_us, 3000000)
			<< h.first << h.repeat;
		EXPECT_LT(s.sent, kSocketBytes) << h.first << h.repeat;
	}
}

// Guards against a body without end that counts as the work of a sound backend
// server.
TEST(Executor, EndlessBodyIsEnded)
{
	for (auto head : { "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
			   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
			   "\r\n" }) {
		bool chunked = strstr(head, "chunked");
		EndlessServer s(head, chunked ? "4\r\nbody\r\n" : "body", 1);

		EXPECT_EQ(BB_EXECUTION_TRUNCATED,
			  execute_all(s.url, 1, 1u << 20)[0]);
		EXPECT_LT(s.sent, (8u << 20) + kSocketBytes);
	}
	// A body of a known length is one that this node may not pass on.
	EndlessServer s("HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n",
			"body", 1);
	EXPECT_EQ(BB_EXECUTION_TOO_LARGE, execute_all(s.url, 1, 1u << 20)[0]);
}

// Guards against several bodies without end that together fill the memory of
// the node, each below the limit of its route.
TEST(Executor, EndlessBodiesShareABudget)
{
	constexpr int kNr = 8;
	constexpr size_t kMaxBody = 64u << 20;
	EndlessServer s("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "body",
			kNr);

	for (auto end : execute_all(s.url, kNr, kMaxBody))
		EXPECT_EQ(BB_EXECUTION_TRUNCATED, end);
	EXPECT_LT(s.sent, 2 * BB_EXECUTOR_BODIES_MAX_BYTES +
				  kNr * (size_t)kSocketBytes);
}
