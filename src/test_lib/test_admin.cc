// Operator listener: requests over real sockets.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <string>

#include "listening_socket.h"

extern "C" {
#include "libnode/admin.h"
}

namespace
{

// A port that nothing listens on.
uint16_t free_port()
{
	struct sockaddr_in a = {};
	socklen_t size = sizeof(a);
	std::string url;
	int fd = listening_socket(&url);

	EXPECT_EQ(0, getsockname(fd, (struct sockaddr *)&a, &size));
	close(fd);
	return ntohs(a.sin_port);
}

class Admin : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		struct bb_admin_options o = {};
		struct bb_error err = {};

		port_ = free_port();
		o.address = "127.0.0.1";
		o.port = port_;
		o.ready_path = "/ready";
		o.ready = [](void *, const char **) { return true; };
		o.document = [](void *, const char *, const char *,
				const char *) -> char * { return nullptr; };
		admin_ = bb_admin_new(&o, &err);
		ASSERT_NE(nullptr, admin_) << err.message;
	}

	void TearDown() override
	{
		bb_admin_delete(admin_);
	}

	// The status of the answer, "closed" if there is none.
	std::string ask(const std::string &request)
	{
		struct sockaddr_in a = {};
		std::string answer;
		char buffer[4096];
		ssize_t n;
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

		a.sin_family = AF_INET;
		a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		a.sin_port = htons(port_);
		EXPECT_EQ(0, connect(fd, (struct sockaddr *)&a, sizeof(a)));
		EXPECT_EQ((ssize_t)request.size(),
			  send(fd, request.data(), request.size(),
			       MSG_NOSIGNAL));
		while (answer.size() < 12) {
			n = recv(fd, buffer, sizeof(buffer), 0);
			if (n <= 0)
				break;
			answer.append(buffer, (size_t)n);
		}
		close(fd);
		return answer.size() < 12 ? "closed" : answer.substr(9, 3);
	}

	struct bb_admin *admin_ = nullptr;
	uint16_t port_ = 0;
};

} // namespace

// Guards against a request that gets no answer because it has a body.
TEST_F(Admin, RequestWithABodyIsAnswered)
{
	const std::string head = " HTTP/1.1\r\nHost: h\r\n";

	EXPECT_EQ("200", ask("GET /ready" + head + "\r\n"));
	EXPECT_EQ("200",
		  ask("GET /ready" + head + "Content-Length: 4\r\n\r\nbody"));
	EXPECT_EQ("405",
		  ask("POST /ready" + head + "Content-Length: 4\r\n\r\nbody"));
	EXPECT_EQ("405",
		  ask("POST /ready" + head + "Content-Length: 3000000\r\n\r\n" +
		      std::string(3000000, 'x')));
	EXPECT_EQ("200", ask("GET /ready" + head +
			     "Transfer-Encoding: chunked\r\n\r\n"
			     "4\r\nbody\r\n0\r\n\r\n"));
}
