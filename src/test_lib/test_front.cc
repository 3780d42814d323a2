// Front end: header rules, and admission of requests sent over real sockets to
// a front whose traffic thread is replaced by a function that answers at once.
#include <arpa/inet.h>
#include <glib.h>
#include <gtest/gtest.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cstring>
#include <mutex>
#include <string>
#include <vector>

#include "config_fixture.h"

extern "C" {
#include "baobabward/clock.h"
#include "baobabward/metrics.h"
#include "libnode/front.h"
#include "libnode/headers.h"
}

namespace
{
struct bb_bytes bytes(const std::string &s)
{
	return { s.data(), s.size() };
}

std::string text(const struct bb_bytes &b)
{
	return std::string(b.data, b.size);
}

std::string upper(std::string s)
{
	for (char &c : s)
		c = g_ascii_toupper(c);
	return s;
}

std::string parsed(const std::string &line)
{
	struct bb_header h;

	if (!bb_header_parse(line.data(), line.size(), &h))
		return "bad";
	return text(h.name) + "=" + text(h.value);
}

bool listed(const std::string &value, const std::string &name)
{
	struct bb_bytes b = bytes(name);

	return bb_header_in_connection_list(value.c_str(), &b);
}
} // namespace

// Guards against reading past the end of a line, and whitespace or CR left in a
// value.
TEST(Headers, LineIsSplit)
{
	EXPECT_EQ("Name=value", parsed("Name: value\r"));
	EXPECT_EQ("Name=a b: c", parsed("Name:\t a b: c \t\r"));
	EXPECT_EQ("Name=", parsed("Name:"));
	EXPECT_EQ("Name=", parsed("Name:  \r"));
	EXPECT_EQ("bad", parsed(""));
	EXPECT_EQ("bad", parsed(":value"));
	EXPECT_EQ("bad", parsed("no colon"));
	// RFC 9112, 5.1: a proxy removes such whitespace from responses.
	EXPECT_EQ("Name=value", parsed("Name \t: value"));
	EXPECT_EQ("bad", parsed(" : value"));
}

// Guards against names that servers take for different ones, after RFC 9110,
// 5.6.2.
TEST(Headers, NamesAreTokens)
{
	for (const char *name : { "X-A", "x_a", "a", "!#$%&'*+-.^`|~9" }) {
		std::string s = name;
		struct bb_bytes b = bytes(s);

		EXPECT_TRUE(bb_header_name_is_valid(&b)) << name;
	}
	for (std::string s :
	     { std::string("X-A "), std::string("X-A\t"), std::string(" X-A"),
	       std::string("X A"), std::string("X-A\0", 4), std::string("X(A)"),
	       std::string("X\xc3\xa4"), std::string() }) {
		struct bb_bytes b = bytes(s);

		EXPECT_FALSE(bb_header_name_is_valid(&b)) << s;
	}
}

// Guards against credentials or hop-by-hop headers that reach a backend server,
// in any case of letters, and against other headers that are dropped.
TEST(Headers, WithheldAndHopByHop)
{
	for (const char *name :
	     { "connection", "keep-alive", "proxy-connection", "te", "trailer",
	       "upgrade", "transfer-encoding", "content-length" }) {
		std::string small = name, large = upper(name);
		struct bb_bytes lower = bytes(small);
		struct bb_bytes other = bytes(large);

		EXPECT_TRUE(bb_header_is_hop_by_hop(&lower)) << name;
		EXPECT_TRUE(bb_header_is_withheld(&other, &bb_dialect_default))
			<< name;
	}
	for (const char *name :
	     { "authorization", "proxy-authorization", "client-account", "host",
	       "expect", "traceparent", "baobabward-deadline-ms" }) {
		std::string s = upper(name);
		struct bb_bytes b = bytes(s);

		EXPECT_FALSE(bb_header_is_hop_by_hop(&b)) << name;
		EXPECT_TRUE(bb_header_is_withheld(&b, &bb_dialect_default))
			<< name;
	}
	// Servers that hand headers on as variables take "_" for "-".
	for (const char *name :
	     { "Client_Account", "PROXY_AUTHORIZATION", "transfer_encoding" }) {
		std::string s = name;
		struct bb_bytes b = bytes(s);

		EXPECT_TRUE(bb_header_is_withheld(&b, &bb_dialect_default))
			<< name;
	}
	for (const char *name : { "accept", "cookie", "content-type",
				  "authorizations", "x-host", "" }) {
		std::string s = name;
		struct bb_bytes b = bytes(s);

		EXPECT_FALSE(bb_header_is_withheld(&b, &bb_dialect_default))
			<< name;
	}
}

// Guards against passing on headers that the Connection header lists.
TEST(Headers, ConnectionLists)
{
	EXPECT_TRUE(listed("close, X-One ,x-two", "x-one"));
	EXPECT_TRUE(listed("close, X-One ,x-two", "X-TWO"));
	EXPECT_TRUE(listed(",,x-one", "x-one"));
	EXPECT_FALSE(listed("x-one-more", "x-one"));
	EXPECT_FALSE(listed("x-on", "x-one"));
	EXPECT_FALSE(listed("", "x-one"));
	EXPECT_FALSE(listed(" , ", "x-one"));
}

namespace
{
// A call as it was submitted to the traffic thread.
struct Submitted {
	std::string target, method, body, headers, key_hash, traceparent;
	uint32_t account, route;
	uint64_t fingerprint;
};

const std::string KEY = "Authorization: Bearer bbk_1\r\n";

class Front : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		struct bb_body_memory_options m = {};

		m.limit = memory_limit_;
		// Longer than the tests that expect a body to be kept.
		m.stall_us = stall_us_;
		m.give_way = bb_front_give_way;
		m.stalled = bb_front_stalled;
		memory_ = bb_body_memory_new(&m);
		set_config(Document());
		start();
	}

	void start()
	{
		struct bb_front_options o = {};
		struct bb_error err = {};

		o.address = "127.0.0.1";
		o.threads = 2;
		o.connection_limit = 10;
		o.memory = memory_;
		o.idle_timeout_s = 60;
		o.incarnation = 0xab;
		o.snapshots = snapshots_;
		o.config_current = [](void *d) {
			return static_cast<Front *>(d)->current_;
		};
		o.submit = submit;
		o.dialect = dialect_;
		o.local_service = local_service_;
		o.data = this;
		front_ = bb_front_new(&o);
		ASSERT_EQ(0, bb_front_init(front_, &err)) << err.message;
	}

	void TearDown() override
	{
		if (fd_ >= 0)
			close(fd_);
		bb_front_delete(front_);
		bb_snapshots_delete(snapshots_);
		bb_body_memory_delete(memory_);
	}

	void set_config(Config c)
	{
		ASSERT_NE(nullptr, c);
		ASSERT_TRUE(bb_snapshots_swap(snapshots_, c.release()));
	}

	void set_config(const Document &d)
	{
		set_config(parse(d.json()));
	}

	struct bb_front *front_ = nullptr;
	int fd_ = -1;

	// Sends bytes on a connection that stays open; returns the answer.
	std::string send_raw(const std::string &request)
	{
		struct sockaddr_in a = {};
		std::string answer;

		if (fd_ < 0) {
			a.sin_family = AF_INET;
			a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
			a.sin_port = htons(bb_front_port(front_));
			fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
			EXPECT_EQ(0, connect(fd_, (struct sockaddr *)&a,
					     sizeof(a)));
		}
		EXPECT_EQ((ssize_t)request.size(),
			  send(fd_, request.data(), request.size(),
			       MSG_NOSIGNAL));
		while (!is_complete(answer)) {
			char buffer[4096];
			ssize_t n = recv(fd_, buffer, sizeof(buffer), 0);

			if (n <= 0)
				break;
			answer.append(buffer, (size_t)n);
		}
		return answer;
	}

	std::string read_to_end()
	{
		std::string answer;
		char buffer[4096];
		ssize_t n;

		while ((n = recv(fd_, buffer, sizeof(buffer), 0)) > 0)
			answer.append(buffer, (size_t)n);
		return answer;
	}

	// Sends bytes on a new connection and reads until it ends, or until
	// the text @last was received.
	std::string send_and_read(const std::string &sent,
				  const std::string &last)
	{
		std::string answer;
		char buffer[4096];
		ssize_t n = 1;

		ask("GET /book", "");
		send(fd_, sent.data(), sent.size(), MSG_NOSIGNAL);
		while (answer.find(last) == std::string::npos && n > 0) {
			n = recv(fd_, buffer, sizeof(buffer), 0);
			if (n > 0)
				answer.append(buffer, (size_t)n);
		}
		return answer;
	}

	// Returns status and verdict of a request on a new connection.
	std::string ask(const std::string &line, const std::string &headers,
			const std::string &body = "")
	{
		std::string answer;

		if (fd_ >= 0)
			close(fd_);
		fd_ = -1;
		answer = send_raw(request(line, headers, body));
		return status(answer);
	}

	// Status and verdict of a request with @nr headers, one of them a cookie, of
	// @sent bytes together, whose answer has a header of @size bytes.
	std::string ask_large(size_t nr, size_t sent, size_t size)
	{
		std::string headers = KEY + "Transfer-Encoding: chunked\r\n";
		std::string answer;

		for (size_t i = 0; i < nr; i++)
			headers += (i ? "X-" + std::to_string(i) : "Cookie") +
				   ": a=" + std::string(sent / nr, 'q') +
				   "\r\n";
		large_value_ = std::string(size, 'r');
		answer = status(
			send_raw(request("POST /book?a=1&b=2", headers, "") +
				 "4\r\nbody\r\n0\r\n\r\n"));
		if (answer != "200 ran" && answer != "502 ran") {
			close(fd_);
			fd_ = -1;
		}
		return answer;
	}

	static std::string request(const std::string &line,
				   const std::string &headers,
				   const std::string &body)
	{
		return line + " HTTP/1.1\r\nHost: h\r\n" + headers +
		       (body.empty() ?
				"" :
				"Content-Length: " +
					std::to_string(body.size()) + "\r\n") +
		       "\r\n" + body;
	}

	static std::string status(const std::string &answer)
	{
		static const char verdict[] = "Baobabward-Verdict: ";
		size_t at = answer.find(verdict);

		if (answer.size() < 12)
			return "closed";
		if (at == std::string::npos)
			return answer.substr(9, 3);
		at += sizeof(verdict) - 1;
		return answer.substr(9, 3) + " " +
		       answer.substr(at, answer.find('\r', at) - at);
	}

	size_t submitted()
	{
		std::lock_guard<std::mutex> lock(mutex_);

		return calls_.size();
	}

	Submitted last()
	{
		std::lock_guard<std::mutex> lock(mutex_);

		return calls_.empty() ? Submitted() : calls_.back();
	}

	struct bb_body_memory *memory_ = nullptr;
	int64_t stall_us_ = 60000000;
	uint64_t memory_limit_ = 60000;
	// Empty for the target of the request.
	std::string answer_ = "done";
	unsigned int status_ = 200;
	// Header of the answer, none if the value is empty.
	std::string large_name_ = "X-Large", large_value_;
	bool current_ = true;
	bool full_ = false;
	const struct bb_dialect *dialect_ = nullptr;
	const char *local_service_ = nullptr;

      private:
	static bool is_complete(const std::string &answer)
	{
		size_t head = answer.find("\r\n\r\n");
		size_t at = answer.find("Content-Length: ");

		if (answer.find("HTTP/1.1 100 ") == 0)
			return head != std::string::npos;
		return head != std::string::npos && at != std::string::npos &&
		       answer.size() >=
			       head + 4 + std::stoul(answer.substr(at + 16));
	}

	static bool submit(void *data, struct bb_call *c)
	{
		auto *self = static_cast<Front *>(data);
		const std::string answer =
			self->answer_.empty() ? c->target : self->answer_;
		struct bb_bytes body = bytes(answer);
		Submitted s;

		if (self->full_)
			return false;
		s.target = c->target;
		s.method = c->method;
		s.body.assign((char *)c->body->data, c->body->len);
		s.traceparent = c->traceparent ? c->traceparent : "";
		s.account = c->account;
		s.route = c->route;
		s.fingerprint = c->fingerprint;
		if (c->has_idempotency_key)
			s.key_hash.assign((char *)c->idempotency_key_hash, 32);
		for (guint i = 0; i < c->headers->len; i++) {
			struct bb_header *h =
				&g_array_index(c->headers, struct bb_header, i);

			s.headers += text(h->name) + "=" + text(h->value) + ";";
		}
		{
			std::lock_guard<std::mutex> lock(self->mutex_);

			self->calls_.push_back(s);
		}
		struct bb_header large = { bytes(self->large_name_),
					   bytes(self->large_value_) };

		bb_call_answer(c, self->status_, &large,
			       self->large_value_.empty() ? 0 : 1, &body);
		c->state = BB_CALL_ANSWERED;
		MHD_resume_connection(c->connection);
		return true;
	}

	struct bb_snapshots *snapshots_ = bb_snapshots_new("h1");
	std::mutex mutex_;
	std::vector<Submitted> calls_;
};
} // namespace

// Guards against a request whose target, method, body or order of headers is
// changed on its way to the traffic thread.
TEST_F(Front, RequestIsSubmittedUnchanged)
{
	EXPECT_EQ("200 ran",
		  ask("POST /book/a%2Fb?x=%20&y",
		      KEY + "X-B: 2\r\nX-A: 1\r\nX-B: 3\r\n", "body"));
	EXPECT_EQ("/book/a%2Fb?x=%20&y", last().target);
	EXPECT_EQ("POST", last().method);
	EXPECT_EQ("body", last().body);
	EXPECT_EQ("X-B=2;X-A=1;X-B=3;", last().headers);
	EXPECT_EQ(0u, last().account);
}

// Guards against passing on credentials and hop-by-hop headers.
TEST_F(Front, CredentialsAndHopByHopHeadersAreNotPassedOn)
{
	EXPECT_EQ("200 ran",
		  ask("GET /book",
		      KEY + "Connection: X-Hop, keep-alive\r\nX-Hop: 1\r\n"
			    "TE: trailers\r\nClient-Account: account-2\r\n"
			    "Baobabward-Deadline-Ms: 9\r\nX-End: 1\r\n"));
	EXPECT_EQ("X-End=1;", last().headers);
	EXPECT_EQ(0u, last().account);
}

// Guards against a key that reaches a backend server because it occurs outside
// the Authorization header: in the target, another header or the body.
TEST_F(Front, KeyOutsideItsHeaderIsRefused)
{
	EXPECT_EQ("400 not-run", ask("GET /book/bbk_1", KEY));
	EXPECT_EQ("400 not-run", ask("GET /book?k=bbk_1", KEY));
	EXPECT_EQ("400 not-run", ask("GET /book?k=%62bk%5f1", KEY));
	EXPECT_EQ("400 not-run", ask("GET /book/%00bbk%5F1%", KEY));
	EXPECT_EQ("200 ran", ask("GET /book?k=%2562bk_1%4", KEY));
	EXPECT_EQ("400 not-run", ask("GET /book", KEY + "Cookie: bbk_1\r\n"));
	EXPECT_EQ("400 not-run", ask("GET /book", KEY + "bbk_1: x\r\n"));
	EXPECT_EQ("400 not-run",
		  ask("GET /book", KEY + "traceparent: bbk_1\r\n"));
	EXPECT_EQ("400 not-run", ask("POST /book", KEY, "a bbk_1 b"));
	EXPECT_EQ(1u, submitted());
}

// Guards against passing on an invalid traceparent, or a tracestate without the
// traceparent that it belongs to.
TEST_F(Front, TraceContextIsPassedOnWhenValid)
{
	const std::string state = "tracestate: a=1\r\n";
	const std::string good =
		"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
	const std::string line = "traceparent: " + good + "\r\n";

	EXPECT_EQ("200 ran", ask("GET /book", KEY + line + state));
	EXPECT_EQ(good, last().traceparent);
	EXPECT_EQ("tracestate=a=1;", last().headers);
	for (const std::string &bad : std::vector<std::string>{
		     "", line + line, "traceparent: x\r\n" }) {
		EXPECT_EQ("200 ran", ask("GET /book", KEY + state + bad));
		EXPECT_EQ("", last().traceparent);
		EXPECT_EQ("", last().headers);
	}
}

// Guards against admitting requests without a valid key on open routes, also
// when the account header names an account.
TEST_F(Front, OpenRoutesNeedAKey)
{
	EXPECT_EQ("401 not-run", ask("GET /book", ""));
	EXPECT_EQ("401 not-run",
		  ask("GET /book", "Authorization: Bearer bbk_9\r\n"));
	EXPECT_EQ("401 not-run",
		  ask("GET /book", "Authorization: Basic bbk_1\r\n"));
	EXPECT_EQ("401 not-run", ask("GET /book", "Authorization: Bearer\r\n"));
	EXPECT_EQ("401 not-run",
		  ask("GET /book", "Client-Account: account-1\r\n"));
	EXPECT_EQ(0u, submitted());
	EXPECT_EQ("200 ran", ask("GET /", "Client-Account: account-2\r\n"));
	EXPECT_EQ(1u, last().account);
	EXPECT_EQ("401 not-run", ask("GET /", "Client-Account: none\r\n"));
	EXPECT_EQ("401 not-run",
		  ask("GET /", "Client-Account: account-1\r\n"
			       "Authorization: Bearer bbk_9\r\n"));
}

// Guards against a revoked key that still works on a connection that was open
// when it was revoked.
TEST_F(Front, RevokedKeyStopsOnAnOpenConnection)
{
	Document next;
	std::string r = request("GET /book", KEY, "");

	EXPECT_EQ("200 ran", status(send_raw(r)));
	next.version = "8";
	next.accounts = account_row(2, 10);
	set_config(next);
	EXPECT_EQ("401 not-run", status(send_raw(r)));
	EXPECT_EQ(1u, submitted());
}

// Guards against admitting a request whose key was revoked, or whose
// configuration ceased to be current, while its body was being received.
TEST_F(Front, RequestIsCheckedAgainWhenItsBodyIsComplete)
{
	const std::string head = request("POST /book",
					 KEY + "Expect: 100-continue\r\n"
					       "Content-Length: 4\r\n",
					 "");
	Document next;

	EXPECT_EQ("100", status(send_raw(head)));
	current_ = false;
	EXPECT_EQ("503 not-run", status(send_raw("body")));
	current_ = true;
	EXPECT_EQ("100", status(send_raw(head)));
	next.version = "8";
	set_config(next);
	EXPECT_EQ("200 ran", status(send_raw("body")));
	EXPECT_EQ("100", status(send_raw(head)));
	next.version = "9";
	next.accounts = account_row(2, 10);
	set_config(next);
	EXPECT_EQ("401 not-run", status(send_raw("body")));
	EXPECT_EQ(1u, submitted());
}

// Guards against the end of the process by a route that is dropped, with client
// accounts, while a body is being received: the account of the request was looked
// up in the newer list.
TEST_F(Front, AccountIsForgottenWithItsRoute)
{
	const std::string head = request("POST /book",
					 "Authorization: Bearer bbk_2\r\n"
					 "Expect: 100-continue\r\n"
					 "Content-Length: 4\r\n",
					 "");
	Document next;

	EXPECT_EQ("100", status(send_raw(head)));
	next.version = "8";
	next.accounts = "";
	next.routes.resize(next.routes.find(",\n"));
	set_config(next);
	EXPECT_EQ("405 not-run", status(send_raw("body")));
	EXPECT_EQ("401 not-run", status(send_raw(request("GET /", KEY, ""))));
	EXPECT_EQ(0u, submitted());
}

// Guards against request smuggling by requests that two servers could parse
// differently.
TEST_F(Front, AmbiguousRequestsAreRefused)
{
	EXPECT_EQ("400",
		  ask("POST /book", KEY + "Content-Length: 4\r\n"
					  "Transfer-Encoding: chunked\r\n")
			  .substr(0, 3));
	EXPECT_EQ("400 not-run", ask("GET /book", KEY + KEY));
	EXPECT_EQ("400 not-run",
		  ask("POST /book", KEY + "Idempotency-Key: a\r\n"
					  "Idempotency-Key: b\r\n"));
	EXPECT_EQ("400 not-run", ask("GET /", "Client-Account: account-1\r\n"
					      "Client-Account: account-2\r\n"));
	EXPECT_EQ(0u, submitted());
}

// Guards against a header that the node withholds or sets itself and that a
// caller sends under a name which a lax backend server takes for it.
TEST_F(Front, NamesThatAreNotTokensAreRefused)
{
	for (const char *line :
	     { "Client-Account : account-2", "Client-Account\t: account-2",
	       "Transfer-Encoding : chunked", "Content-Length : 9",
	       "Host : elsewhere", "X(A): 1" })
		EXPECT_EQ("400",
			  ask("GET /book", KEY + line + "\r\n").substr(0, 3))
			<< line;
	EXPECT_EQ(0u, submitted());
	EXPECT_EQ("200 ran", ask("GET /book", KEY + "X_B: 1\r\n"
						    "Client_Account: a\r\n"));
	EXPECT_EQ("X_B=1;", last().headers);
}

// Guards against unbounded memory for the headers, target or body of a request.
TEST_F(Front, SizesAreBounded)
{
	std::string many, chunk(65536, 'x');

	for (int i = 0; i < 200; i++)
		many += "X-" + std::to_string(i) + ": 1\r\n";
	EXPECT_EQ("431 not-run", ask("GET /book", KEY + many));
	EXPECT_EQ("431 not-run",
		  ask("GET /book/" + std::string(9000, 'a'), KEY));
	EXPECT_EQ("413 not-run",
		  ask("POST /book", KEY + "Content-Length: 65537\r\n"));
	/* libmicrohttpd itself refuses a length that overflows its integer. */
	EXPECT_EQ("413", ask("POST /book",
			     KEY + "Content-Length: 99999999999999999999\r\n")
				 .substr(0, 3));
	EXPECT_EQ("200 ran", ask("POST /book", KEY, chunk));
	EXPECT_EQ(chunk, last().body);
	/* The length of a chunked body is known at its end only. */
	EXPECT_EQ("413 not-run",
		  status(send_raw(request("POST /book",
					  KEY + "Transfer-Encoding: "
						"chunked\r\n",
					  "") +
				  "10000\r\n" + chunk +
				  "\r\n1\r\nx\r\n0\r\n"
				  "\r\n")));
	EXPECT_EQ(1u, submitted());
}

// Guards against a connection that is closed without an answer because the heads of
// request and response do not fit into its memory together.
TEST_F(Front, LargeHeadsAreAnswered)
{
	const size_t max = 33000;

	for (size_t nr : { 1, 10, 100 })
		for (size_t sent = 0; sent <= 24000; sent += 3000)
			for (size_t size = 0; size <= max; size += 500) {
				std::string got = ask_large(nr, sent, size);
				bool fits = nr <= 10 && sent <= 3000 &&
					    size <= 20000;

				// libmicrohttpd itself refused the request.
				if (got == "431")
					continue;
				if (fits || got != "502 ran")
					EXPECT_EQ("200 ran", got)
						<< nr << " headers, " << sent
						<< " bytes, answer with "
						<< size;
				if (size == max)
					EXPECT_EQ("502 ran", got);
			}
}

// Guards against a connection that is closed without an answer because another node
// sent a response whose status is not that of one.
TEST_F(Front, InvalidStatusIsAFailure)
{
	for (unsigned int invalid : { 0u, 99u, 101u, 199u, 600u, 1000u }) {
		status_ = invalid;
		EXPECT_EQ("502 may-have-run", ask("GET /book", KEY)) << invalid;
	}
	for (unsigned int valid : { 200u, 404u, 421u, 500u, 599u }) {
		status_ = valid;
		EXPECT_EQ(std::to_string(valid) + " ran",
			  ask("GET /book", KEY));
	}
}

// Guards against a refusal that a caller loses because the connection is reset
// while it still sends the body.
TEST_F(Front, RefusalsWaitForTheBody)
{
	std::string body(60000, 'x');
	std::string r = request("POST /book", "", body);

	EXPECT_EQ("401 not-run", status(send_raw(r)));
	// The connection can still be used, so the whole body was read.
	EXPECT_EQ("405 not-run",
		  status(send_raw(request("POST /none", KEY, body))));
	EXPECT_EQ("200 ran", status(send_raw(request("GET /book", KEY, ""))));
	// With "Expect: 100-continue" the refusal comes in place of the 100.
	EXPECT_EQ("401 not-run", ask("POST /book", "Expect: 100-continue\r\n"
						   "Content-Length: 9\r\n"));
	// A body beyond the limit is answered before it is in, and the rest is
	// not read: the connection is closed, and the send may fail.
	EXPECT_EQ("401 not-run", ask("GET /book", ""));
	r = request("POST /book", "", std::string(3 << 20, 'x'));
	(void)!send(fd_, r.data(), r.size(), MSG_NOSIGNAL);
	r = read_to_end();
	EXPECT_EQ("401 not-run", status(r));
	EXPECT_NE(std::string::npos, r.find("Connection: close"));
	EXPECT_EQ(1u, submitted());
}

namespace
{

// Callers that send the whole of a long request and then wait for the answer.
class FrontLongBody : public Front
{
      protected:
	void SetUp() override
	{
		Document d;
		const std::string old = "\"max_body_bytes\":65536";

		// The route "profile" keeps the smaller limit.
		for (size_t at : { d.routes.rfind(old), d.routes.find(old) })
			d.routes.replace(at, old.size(),
					 "\"max_body_bytes\":8388608");
		d.version = "8";
		memory_limit_ = 64 << 20;
		Front::SetUp();
		set_config(d);
	}

	// The status of a request whose body of @size bytes is sent whole.
	std::string whole(const std::string &line, const std::string &headers,
			  size_t size)
	{
		ask("GET /book", "");
		return status(send_raw(
			request(line, headers, std::string(size, 'x'))));
	}

	std::string whole_in_chunks(const std::string &line,
				    const std::string &headers, int chunks)
	{
		const std::string chunk =
			"10000\r\n" + std::string(65536, 'x') + "\r\n";
		std::string body;

		for (int i = 0; i < chunks; i++)
			body += chunk;
		ask("GET /book", "");
		return status(send_raw(
			request(line,
				headers + "Transfer-Encoding: chunked\r\n",
				"") +
			body + "0\r\n\r\n"));
	}
};

} // namespace

// Guards against a refused request that was sent whole and ends without an
// answer because its body is long.
TEST_F(FrontLongBody, RefusedRequestIsAnswered)
{
	for (size_t size : { 900000, 1200000, 3000000, 8000000 }) {
		EXPECT_EQ("401 not-run", whole("POST /book", "", size)) << size;
		EXPECT_EQ("405 not-run", whole("POST /none", KEY, size))
			<< size;
	}
	EXPECT_EQ("401 not-run", whole_in_chunks("POST /book", "", 32));
	EXPECT_EQ("405 not-run", whole_in_chunks("POST /none", KEY, 120));
	EXPECT_EQ("413 not-run", whole("GET /book/profile", KEY, 70000));
	EXPECT_EQ("413 not-run", whole("GET /book/profile", KEY, 8000000));
	EXPECT_EQ("413 not-run",
		  whole_in_chunks("GET /book/profile", KEY, 100));
	EXPECT_EQ("400 not-run",
		  whole("POST /book", KEY + "X-Copy: bbk_1\r\n", 8000000));
	EXPECT_EQ("431 not-run",
		  whole("POST /book/" + std::string(9000, 'a'), KEY, 8000000));
	current_ = false;
	EXPECT_EQ("503 not-run", whole("POST /book", KEY, 8000000));
	EXPECT_EQ("503 not-run", whole_in_chunks("POST /book", KEY, 100));
	EXPECT_EQ(0u, submitted());
}

// Guards against a long request that gets no answer because a configuration
// takes its key away, or lowers the limit, while its body is on the way.
TEST_F(FrontLongBody, ChangeBesideTheBodyIsAnswered)
{
	const std::string text =
		request("POST /book", KEY, std::string(3000000, 'x'));
	Document d;

	ask("GET /book", "");
	EXPECT_EQ(2000000, send(fd_, text.data(), 2000000, MSG_NOSIGNAL));
	d.version = "9";
	set_config(d);
	EXPECT_EQ("413 not-run", status(send_raw(text.substr(2000000))));
	d.version = "10";
	d.accounts = account_row(2, 2.5);
	set_config(d);
	EXPECT_EQ("401 not-run", whole("POST /book", KEY, 3000000));
	EXPECT_EQ(0u, submitted());
}

// Guards against a body that is received although nodes do not pass it on.
TEST_F(FrontLongBody, BodyOverTheLimitOfNodesIsRefused)
{
	Document d;

	d.version = "9";
	d.routes.replace(d.routes.rfind("65536"), 5, "4000000000");
	set_config(d);
	EXPECT_EQ("413 not-run",
		  ask("GET /book", KEY + "Content-Length: 67108865\r\n"));
}

// Guards against a refused body that is read for longer than any body may be.
TEST_F(FrontLongBody, RefusedBodyWithoutEndIsCutOff)
{
	const std::string chunk =
		"10000\r\n" + std::string(65536, 'x') + "\r\n";
	ssize_t n = 1;

	ask("GET /book", "");
	send_raw("POST /book HTTP/1.1\r\nHost: h\r\n"
		 "Transfer-Encoding: chunked\r\n\r\n" +
		 [&] {
			 std::string all;

			 for (int i = 0; i < 20; i++)
				 all += chunk;
			 return all;
		 }());
	for (int i = 0; i < 2000 && n > 0; i++)
		n = send(fd_, chunk.data(), chunk.size(), MSG_NOSIGNAL);
	EXPECT_GT(0, n);
}

// Guards against a refusal that a caller does not get because it has closed its
// sending direction.
TEST_F(FrontLongBody, HalfClosedCallerIsAnswered)
{
	for (size_t size : { 1000, 100000, 900000, 3000000 }) {
		std::string answer, text = request("POST /book", "",
						   std::string(size, 'x'));
		char buffer[4096];
		ssize_t n;

		ask("GET /book", "");
		EXPECT_EQ((ssize_t)text.size(),
			  send(fd_, text.data(), text.size(), MSG_NOSIGNAL));
		shutdown(fd_, SHUT_WR);
		n = recv(fd_, buffer, sizeof(buffer), 0);
		if (n > 0)
			answer.assign(buffer, (size_t)n);
		EXPECT_EQ("401 not-run", status(answer)) << size;
	}
}

// Guards against requests that libmicrohttpd itself answers being counted as
// unanswered.
TEST_F(Front, RequestRefusedByTheParserIsNotCountedAsUnanswered)
{
	uint64_t before = bb_metrics_get(BB_METRIC_UNANSWERED);

	EXPECT_EQ("400", ask("GET /book", "Content-Length: x\r\n"));
	EXPECT_EQ("431",
		  ask("GET /book", "X-A: " + std::string(40000, 'x') + "\r\n"));
	bb_front_finish(front_);
	EXPECT_EQ(before, bb_metrics_get(BB_METRIC_UNANSWERED));
}

// Guards against what follows a refused body being taken for a request, and
// against an answer of libmicrohttpd after that of the refusal.
TEST_F(FrontLongBody, NothingFollowsAnEarlyAnswer)
{
	const std::string head = "POST /book HTTP/1.1\r\nHost: h\r\n";
	const std::string body(3000000, 'x'),
		next = request("GET /book", KEY, "");

	for (const std::string &sent :
	     { head + "Content-Length: 3000000\r\n\r\n" + body + next,
	       head + "Transfer-Encoding: chunked\r\n\r\n200000\r\n" +
		       std::string(0x200000, 'x') + "\r\nnone\r\n" + next,
	       "HEAD /book HTTP/1.1\r\nHost: h\r\n"
	       "Content-Length: 3000000\r\n\r\n" +
		       body + next }) {
		std::string answer;

		ask("GET /book", "");
		(void)!send(fd_, sent.data(), sent.size(), MSG_NOSIGNAL);
		answer = read_to_end();
		EXPECT_EQ(sent[0] == 'H' ? "405 not-run" : "401 not-run",
			  status(answer));
		EXPECT_EQ(answer.find("HTTP/1.1"), answer.rfind("HTTP/1.1"));
		if (sent[0] == 'H')
			EXPECT_EQ(answer.size(), answer.find("\r\n\r\n") + 4);
	}
	EXPECT_EQ(0u, submitted());
}

// Guards against a request that ran and gets no answer because its head and that
// of the response do not fit in the memory of a connection together.
TEST_F(Front, LongHeadsDoNotCostTheAnswer)
{
	const auto headers = [](size_t size) {
		std::string s = KEY;

		for (size_t n; size; size -= n) {
			n = MIN(size, (size_t)1000);
			s += "X-A: " + std::string(n, 'x') + "\r\n";
		}
		return s;
	};

	for (size_t size : { 1000, 16000, 24000, 40000 }) {
		large_value_ = std::string(size, 'y');
		EXPECT_NE("closed", ask("GET /book", KEY)) << size;
		EXPECT_NE("closed", ask("GET /book", headers(12000))) << size;
	}
	large_value_ = "";
	for (size_t size = 29000; size < 31000; size += 50)
		EXPECT_NE("closed", ask("GET /book", headers(size))) << size;
}

// Guards against a refusal that a caller does not get because it announces its
// body with "Expect: 100-continue" and sends it without a wait.
TEST_F(FrontLongBody, ExpectingCallerThatDoesNotWaitIsAnswered)
{
	for (size_t size : { 1000, 100000, 900000, 3000000, 8000000 })
		EXPECT_EQ("401 not-run",
			  whole("POST /book", "Expect: 100-continue\r\n", size))
			<< size;
}

// Guards against equal hashes for idempotency keys of different accounts or
// routes.
TEST_F(Front, IdempotencyKeysAreSeparate)
{
	const std::string other = "Authorization: Bearer bbk_2\r\n";
	std::string first;

	EXPECT_EQ("200 ran", ask("POST /book", KEY, "a"));
	EXPECT_EQ("", last().key_hash);
	EXPECT_EQ("200 ran",
		  ask("POST /book", KEY + "Idempotency-Key: k\r\n", "a"));
	first = last().key_hash;
	EXPECT_EQ(32u, first.size());
	EXPECT_EQ("200 ran",
		  ask("POST /book", KEY + "Idempotency-Key: k\r\n", "a"));
	EXPECT_EQ(first, last().key_hash);
	EXPECT_EQ("200 ran",
		  ask("POST /book", other + "Idempotency-Key: k\r\n", "a"));
	EXPECT_NE(first, last().key_hash);
	EXPECT_EQ("200 ran", ask("GET /book", KEY + "Idempotency-Key: k\r\n"));
	EXPECT_EQ("", last().key_hash);
	EXPECT_EQ("400 not-run",
		  ask("POST /book", KEY + "Idempotency-Key:\r\n", "a"));
	EXPECT_EQ("400 not-run", ask("POST /book",
				     KEY + "Idempotency-Key: " +
					     std::string(256, 'k') + "\r\n",
				     "a"));
}

// Guards against a request that waits for records which nobody holds: with a
// window of 0 its idempotency key concerns the backend server only.
TEST_F(Front, IdempotencyKeyWithoutRecordsIsPassedOn)
{
	const std::string window = "\"idempotency_window_ms\":60000";
	Document d;

	d.version = "8";
	std::string json = d.json();
	set_config(parse(json.replace(json.find(window), window.size(),
				      "\"idempotency_window_ms\":0")));
	EXPECT_EQ("200 ran",
		  ask("POST /book", KEY + "Idempotency-Key: k\r\n", "a"));
	EXPECT_EQ("", last().key_hash);
	EXPECT_NE(std::string::npos, last().headers.find("Idempotency-Key=k;"));
}

// Guards against a request for a route that was left out of the configuration
// which runs at the service of a shorter prefix, or gets 404.
TEST_F(Front, PathOfARefusedRouteIsNotRun)
{
	struct bb_error err = {};
	Document d;

	d.version = "8";
	d.routes +=
		R"(,{"name":"late","path_prefix":"/book/late/","methods":["GET"],"service":"orders","idempotent":true,"access":"open","max_body_bytes":1,"timeout_ms":0})";
	std::string json = d.json();

	set_config(
		Config(bb_config_parse_rows(json.data(), json.size(), &err)));
	EXPECT_EQ("503 not-run", ask("GET /book/late/1", KEY));
	EXPECT_EQ(0u, submitted());
	EXPECT_EQ("200 ran", ask("GET /book/1", KEY));
}

// Guards against many uploads at once that take more memory than the process has,
// against a refusal that is lost or does not say that the request has not run, and
// against memory that is not given back.
TEST_F(Front, BodiesShareAMemoryLimit)
{
	const std::string large(40000, 'x');
	const std::string declared = KEY + "Content-Length: " +
				     std::to_string(large.size()) + "\r\n";
	const std::string chunked =
		"POST /book HTTP/1.1\r\nHost: h\r\n" + KEY +
		"Transfer-Encoding: chunked\r\n\r\n9c40\r\n" + large +
		"\r\n0\r\n\r\n";
	int held;

	EXPECT_EQ("100", status(send_raw(request(
				 "POST /book",
				 declared + "Expect: 100-continue\r\n", ""))));
	held = fd_;
	fd_ = -1;
	EXPECT_EQ("503 not-run", ask("POST /book", KEY, large));
	close(fd_);
	fd_ = -1;
	EXPECT_EQ("503 not-run", status(send_raw(chunked)));
	EXPECT_EQ("200 ran", ask("POST /book", KEY, "small"));
	EXPECT_EQ(1u, submitted());
	close(held);
	while (bb_front_requests(front_))
		g_usleep(1000);
	EXPECT_EQ("200 ran", ask("POST /book", KEY, large));
	EXPECT_EQ("200 ran", ask("POST /book", KEY, large));
}

namespace
{
// With bodies that count as stalled after 1 ms without progress.
class FrontStall : public Front
{
      protected:
	FrontStall()
	{
		stall_us_ = 1000;
	}

	// Takes the connection in use, so that the next request opens another.
	int keep()
	{
		int fd = fd_;

		fd_ = -1;
		return fd;
	}

	int connect_only()
	{
		struct sockaddr_in a = {};
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

		a.sin_family = AF_INET;
		a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		a.sin_port = htons(bb_front_port(front_));
		EXPECT_EQ(0, connect(fd, (struct sockaddr *)&a, sizeof(a)));
		return fd;
	}

	// The head and all but the last byte of a body of 40,000 bytes.
	int stop_short()
	{
		std::string text =
			request("POST /book", KEY, std::string(40000, 'x'));
		int fd = connect_only();

		EXPECT_EQ((ssize_t)text.size() - 1,
			  send(fd, text.data(), text.size() - 1, 0));
		while (used() < 40000)
			g_usleep(1000);
		g_usleep(20000);
		return fd;
	}

	uint64_t used()
	{
		struct bb_body_memory_use use;

		bb_body_memory_use(memory_, &use);
		return use.stages[BB_BODY_RECEIVED] +
		       use.stages[BB_BODY_RESPONSE];
	}
};
} // namespace

// Guards against a caller that stops short and keeps others out, and against a
// request that runs although its body was dropped.
TEST_F(FrontStall, StalledBodyGivesWayAndDoesNotRun)
{
	int held = stop_short();

	EXPECT_EQ("200 ran", ask("POST /book", KEY, std::string(40000, 'y')));
	EXPECT_EQ(std::string(40000, 'y'), last().body);
	close(keep());
	fd_ = held;
	EXPECT_EQ("503 not-run", status(send_raw("x")));
	EXPECT_EQ(1u, submitted());
}

// Guards against a body that is dropped although there is room.
TEST_F(FrontStall, StalledBodyStaysInCalm)
{
	int held = stop_short();

	EXPECT_EQ("200 ran", ask("POST /book", KEY, "small"));
	close(keep());
	fd_ = held;
	EXPECT_EQ("200 ran", status(send_raw("x")));
	EXPECT_EQ(std::string(40000, 'x'), last().body);
	close(keep());
	while (bb_front_requests(front_))
		g_usleep(1000);
	EXPECT_EQ(0u, used());
}

// Guards against a connection that stays because its caller was refused and never
// sends the rest.
TEST_F(FrontStall, RefusedCallerThatStopsShortIsCutOff)
{
	ask("GET /book", "");
	EXPECT_EQ("401 not-run",
		  status(send_raw("POST /book HTTP/1.1\r\nHost: h\r\n"
				  "Content-Length: 2000000\r\n\r\nx")));
	EXPECT_EQ(1u, bb_front_requests(front_));
	for (int i = 0; i < 5000 && bb_front_requests(front_); i++) {
		g_usleep(2000);
		bb_body_memory_tick(memory_, bb_clock_now_us());
	}
	EXPECT_EQ(0u, bb_front_requests(front_));
}

// Guards against a drain that lasts as long as a refused caller goes on to send.
TEST_F(FrontStall, RefusedCallerThatGoesOnDoesNotHoldADrain)
{
	const std::string piece(1000, 'x');
	ssize_t n = 1;

	ask("GET /book", "");
	EXPECT_EQ("401 not-run",
		  status(send_raw("POST /book HTTP/1.1\r\nHost: h\r\n"
				  "Content-Length: 60000000\r\n\r\nx")));
	bb_front_drain(front_);
	for (int i = 0; i < 1500 && n > 0 && bb_front_requests(front_); i++) {
		n = send(fd_, piece.data(), piece.size(), MSG_NOSIGNAL);
		g_usleep(10000);
	}
	EXPECT_EQ(0u, bb_front_requests(front_));
}

// Guards against responses that wait for callers which do not read, and against
// one that is damaged because it is passed on in blocks.
TEST_F(FrontStall, ResponseToAStalledCallerGivesWay)
{
	const std::string head = request("GET /book", KEY, "");
	struct bb_body_memory_use use;
	std::string answer;
	int held;

	answer_.resize(8 << 20);
	for (size_t i = 0; i < answer_.size(); i++)
		answer_[i] = (char)('a' + i % 23);
	answer = send_raw(head);
	EXPECT_EQ(answer_, answer.substr(answer.find("\r\n\r\n") + 4));
	close(keep());
	while (bb_front_requests(front_))
		g_usleep(1000);
	held = connect_only();
	EXPECT_EQ((ssize_t)head.size(),
		  send(held, head.data(), head.size(), 0));
	while (used() < answer_.size())
		g_usleep(1000);
	g_usleep(50000);
	answer_ = "done";
	EXPECT_EQ("200 ran", ask("POST /book", KEY, std::string(20000, 'x')));
	EXPECT_EQ("200 ran", ask("POST /book", KEY, std::string(20000, 'x')));
	bb_body_memory_use(memory_, &use);
	EXPECT_EQ(0u, use.stages[BB_BODY_RESPONSE] > 8000000);
	close(held);
}

namespace
{
// With callers that do not read but do not count as stalled yet.
class FrontUnread : public FrontStall
{
      protected:
	FrontUnread()
	{
		stall_us_ = 60000000;
	}
};
} // namespace

// Guards against memory for all answers that wait for callers which do not read,
// and against a refusal that says that the request did not run.
TEST_F(FrontUnread, AnswerWithoutRoomIsAFailure)
{
	const std::string head = request("GET /book", KEY, "");
	std::string answer;
	int held = connect_only();

	answer_ = std::string(8 << 20, 'x');
	EXPECT_EQ((ssize_t)head.size(),
		  send(held, head.data(), head.size(), 0));
	while (used() < answer_.size())
		g_usleep(1000);
	for (int i = 0; i < 3; i++) {
		EXPECT_EQ("502 ran", ask("GET /book", KEY));
		EXPECT_EQ(answer_.size(), used());
	}
	answer_ = std::string(16 << 10, 'x');
	EXPECT_EQ("200 ran", ask("GET /book", KEY));
	EXPECT_EQ(5u, submitted());
	close(held);
	close(keep());
	while (bb_front_requests(front_))
		g_usleep(1000);
	answer_ = std::string(8 << 20, 'x');
	answer = send_raw(head);
	EXPECT_EQ("200 ran", status(answer));
	EXPECT_EQ(answer_, answer.substr(answer.find("\r\n\r\n") + 4));
}

// Guards against memory that a refused body in chunks keeps.
TEST_F(Front, RefusedChunksAreFreed)
{
	std::string chunk = "1000\r\n" + std::string(4096, 'x') + "\r\n";
	std::string text = "POST /book HTTP/1.1\r\nHost: h\r\n" + KEY +
			   "Transfer-Encoding: chunked\r\n\r\n";
	struct bb_body_memory_use use;

	for (int i = 0; i < 20; i++)
		text += chunk;
	EXPECT_EQ("413 not-run", status(send_raw(text + "0\r\n\r\n")));
	bb_body_memory_use(memory_, &use);
	EXPECT_EQ(0u, use.stages[BB_BODY_RECEIVED]);
	EXPECT_EQ(0u, submitted());
}

// Guards against a request that ends without an answer and leaves no trace, and
// against answered requests and callers that left early being counted.
TEST_F(Front, UnansweredRequestIsCounted)
{
	const std::string whole = request("POST /book", KEY, "body");
	uint64_t before = bb_metrics_get(BB_METRIC_UNANSWERED);

	EXPECT_EQ("200 ran", status(send_raw(whole)));
	EXPECT_EQ("401 not-run", ask("POST /book", "", "body"));
	close(fd_);
	fd_ = -1;
	ask("GET /book", KEY);
	send(fd_, whole.data(), whole.size() - 1, 0);
	while (!bb_front_requests(front_))
		g_usleep(1000);
	close(fd_);
	fd_ = -1;
	while (bb_front_requests(front_))
		g_usleep(1000);
	EXPECT_EQ(before, bb_metrics_get(BB_METRIC_UNANSWERED));
	ask("GET /book", KEY);
	send(fd_, whole.data(), whole.size() - 1, 0);
	while (!bb_front_requests(front_))
		g_usleep(1000);
	bb_front_finish(front_);
	EXPECT_EQ(before + 1, bb_metrics_get(BB_METRIC_UNANSWERED));
}

// Guards against a different request with the same idempotency key that is
// taken for a repetition of the first.
TEST_F(Front, FingerprintCoversTheRequest)
{
	uint64_t first;

	ask("POST /book", KEY, "a");
	first = last().fingerprint;
	ask("POST /book", KEY, "a");
	EXPECT_EQ(first, last().fingerprint);
	ask("POST /book", KEY, "b");
	EXPECT_NE(first, last().fingerprint);
	ask("POST /book?", KEY, "a");
	EXPECT_NE(first, last().fingerprint);
	ask("PUT /book", KEY, "a");
	EXPECT_NE(first, last().fingerprint);
	EXPECT_EQ(5u, submitted());
}

// Guards against serving open routes on a node that may have missed the
// revocation of a key, and against a full queue that is not reported as "not
// run".
TEST_F(Front, StaleConfigAndFullQueueAreRefused)
{
	current_ = false;
	EXPECT_EQ("503 not-run", ask("GET /book", KEY));
	EXPECT_EQ("200 ran", ask("GET /", "Client-Account: account-1\r\n"));
	current_ = true;
	full_ = true;
	EXPECT_EQ("503 not-run", ask("GET /book", KEY));
	EXPECT_EQ(1u, submitted());
}

// Guards against a stop that aborts the process while worker threads are busy.
// It happened occasionally with libmicrohttpd's own listening socket, see
// listener.h.
TEST_F(Front, StopsWhileWorkersAreBusy)
{
	for (int i = 0; i < 300; i++) {
		EXPECT_EQ("200 ran", ask("GET /book", KEY));
		bb_front_delete(front_);
		start();
	}
}

// Guards against a drain that resets connections that were set up before it, or
// accepts new ones.
TEST_F(Front, DrainServesOpenConnections)
{
	uint16_t port = bb_front_port(front_);
	std::string answer;

	EXPECT_EQ("200 ran", ask("GET /book", KEY));
	bb_front_drain(front_);
	answer = send_raw(request("GET /book", KEY, ""));
	EXPECT_EQ("200 ran", status(answer));
	EXPECT_NE(std::string::npos, answer.find("Connection: close"));
	close(fd_);
	fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct sockaddr_in a = {};
	a.sin_family = AF_INET;
	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	a.sin_port = htons(port);
	EXPECT_EQ(-1, connect(fd_, (struct sockaddr *)&a, sizeof(a)));
}

// Guards against answers out of order, and against requests that are lost, where a
// caller sends further ones before the first was answered.
TEST_F(Front, PipelinedRequestsAreAnsweredInOrder)
{
	std::string sent, answer;
	size_t at = 0;

	answer_ = "";
	for (int i = 1; i <= 20; i++)
		sent += request("GET /book/" + std::to_string(i) + "x", KEY,
				"");
	answer = send_and_read(sent, "/book/20x");
	EXPECT_EQ(20u, submitted());
	for (int i = 1; i <= 20; i++) {
		at = answer.find("\r\n\r\n/book/" + std::to_string(i) + "x",
				 at);
		ASSERT_NE(std::string::npos, at) << i;
	}
}

// Guards against a request that runs although the answer before it closed the
// connection: its caller counts it as not read and sends it again.
TEST_F(Front, PipelinedRequestBehindACloseIsNotRun)
{
	const std::string second = request("POST /book/second", KEY, "x");
	const std::string closing[] = {
		request("GET /book/first", KEY + "Connection: close\r\n", ""),
		request("POST /book/first", KEY, std::string(70000, 'x')),
		request("POST /book/first",
			KEY + "Transfer-Encoding: chunked\r\n", "x"),
	};

	for (const std::string &first : closing) {
		std::string answer = send_and_read(first + second, "never");

		EXPECT_NE(std::string::npos, answer.find("HTTP/1.1 "));
		EXPECT_EQ(std::string::npos, answer.find("HTTP/1.1 ", 1));
		EXPECT_NE("/book/second", last().target);
	}
	// A draining node closes after its next answer.
	ask("GET /book", KEY);
	bb_front_drain(front_);
	send_raw(request("GET /book/first", KEY, "") + second);
	EXPECT_EQ("/book/first", last().target);
}

// Guards against a drain that does not end because a caller with many open
// connections keeps sending requests.
TEST_F(Front, RefusesRequestsWhenADrainTakesLong)
{
	std::string answer;

	EXPECT_EQ("200 ran", ask("GET /book", KEY));
	bb_front_drain(front_);
	bb_front_refuse_requests(front_);
	answer = send_raw(request("GET /book", KEY, ""));
	EXPECT_EQ("503 not-run", status(answer));
	EXPECT_NE(std::string::npos, answer.find("Connection: close"));
	EXPECT_EQ(1u, submitted());
}

// Guards against a wrong route, and a wrong status for paths and methods
// without one.
TEST_F(Front, RouteIsFound)
{
	EXPECT_EQ("405 not-run", ask("DELETE /book", KEY));
	EXPECT_EQ("405 not-run", ask("POST /other", KEY));
	EXPECT_EQ("200 ran", ask("GET /book/profile/7", KEY));
	EXPECT_EQ(2u, last().route);
	EXPECT_EQ("200 ran", ask("GET /bookings", KEY));
	EXPECT_EQ(0u, last().route);
}

namespace
{

const struct bb_dialect kDialect = [] {
	struct bb_dialect d = {};

	d.api_key = "X-Key";
	d.account = "X-Account";
	d.send_account = true;
	d.deadline = "X-Deadline";
	d.request_id = "X-Id";
	d.caller_service = "X-Caller";
	d.forward_host = true;
	d.fractional_retry_after = true;
	d.not_run_as_503 = true;
	return d;
}();

} // namespace

class FrontDialect : public Front
{
      protected:
	void SetUp() override
	{
		Document d;
		std::string open = "\"access\":\"open\"";

		d.routes.replace(d.routes.find("/book/profile"), 13, "/free");
		d.routes.replace(d.routes.find(open, d.routes.find("/free")),
				 open.size(), "\"access\":\"public\"");
		dialect_ = &kDialect;
		local_service_ = "orders";
		set_config(d);
		start();
	}
};

// Guards against a key that is passed on because its header has another name,
// and against account and service headers that a caller sets itself.
TEST_F(FrontDialect, NodeSetsItsOwnHeaders)
{
	EXPECT_EQ("200 ran", ask("GET /book", "X-Key: bbk_1\r\nX-Id: abc\r\n"
					      "X-Account: account-2\r\n"
					      "X-Caller: lookup\r\n"));
	EXPECT_NE(std::string::npos,
		  last().headers.find("X-Account=account-1;"));
	EXPECT_NE(std::string::npos, last().headers.find("X-Caller=orders;"));
	EXPECT_NE(std::string::npos, last().headers.find("X-Id=abc;"));
	EXPECT_NE(std::string::npos, last().headers.find("Host=h;"));
	EXPECT_EQ(std::string::npos, last().headers.find("bbk_1"));
	EXPECT_EQ(std::string::npos, last().headers.find("account-2"));
	EXPECT_EQ(std::string::npos, last().headers.find("lookup"));
	EXPECT_EQ("401 not-run",
		  ask("GET /book", "Authorization: Bearer bbk_1\r\n"));
}

// Guards against a public route that requires a key, and against one that sends
// backend servers an account that was not authenticated by a key.
TEST_F(FrontDialect, PublicRoutesNeedNoKey)
{
	EXPECT_EQ("200 ran", ask("GET /free/1", "X-Account: account-2\r\n"));
	EXPECT_EQ(std::string::npos, last().headers.find("X-Account"));
	EXPECT_EQ("200 ran", ask("GET /free/1", "X-Key: unknown\r\n"));
	EXPECT_EQ("401 not-run", ask("GET /book", "X-Key: unknown\r\n"));
}

// Guards against the end of the process by a request id that is not UTF-8, as
// sent or because it is cut off.
TEST_F(FrontDialect, RequestIdNeedNotBeUtf8)
{
	for (const std::string &id :
	     { std::string("a\xff"), std::string("\xc3"),
	       std::string(35, 'a') + "\xc3\xa4" }) {
		std::string answer;

		EXPECT_EQ("401 not-run",
			  ask("GET /book", "X-Id: " + id + "\r\n"));
		answer = send_raw(
			request("GET /none", "X-Id: " + id + "\r\n", ""));
		EXPECT_EQ("401 not-run", status(answer));
		EXPECT_NE(std::string::npos, answer.find("unauthorized"));
	}
}

// Guards against a key that gets into logs and problem bodies because the
// caller's request id contains it.
TEST_F(FrontDialect, RequestIdWithKeyIsRefused)
{
	std::string answer = send_raw(request(
		"GET /book", "X-Key: bbk_1\r\nX-Id: see-bbk_1\r\n", ""));

	EXPECT_EQ("400 not-run", status(answer));
	EXPECT_EQ(std::string::npos, answer.find("bbk_1"));
}
