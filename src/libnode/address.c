#include "libnode/address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>

int bb_address_parse(const char *address, uint16_t port,
		     struct sockaddr_storage *ss, struct bb_error *err)
{
	struct sockaddr_in *in4 = (struct sockaddr_in *)ss;
	struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)ss;

	memset(ss, 0, sizeof(*ss));
	if (inet_pton(AF_INET, address, &in4->sin_addr) == 1) {
		in4->sin_family = AF_INET;
		in4->sin_port = htons(port);
		return 0;
	}
	if (inet_pton(AF_INET6, address, &in6->sin6_addr) == 1) {
		in6->sin6_family = AF_INET6;
		in6->sin6_port = htons(port);
		return 0;
	}
	return bb_error_set(err, BB_ERROR_INVALID,
			    "\"%s\" is not an IPv4 or IPv6 address", address);
}
