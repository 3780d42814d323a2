/* Conversion of IP addresses in text form to socket addresses. */
#ifndef BB_NODE_ADDRESS_H
#define BB_NODE_ADDRESS_H

#include <stdint.h>
#include <sys/socket.h>

#include "baobabward/error.h"

/**
 * bb_address_parse() - make a socket address.
 * @address: IPv4 or IPv6 address in text form; host names are not resolved
 * @port: TCP port
 * @ss: set on success
 * @err: set on failure
 *
 * Return: 0, or -1 if @address is not an IP address.
 */
int bb_address_parse(const char *address, uint16_t port,
		     struct sockaddr_storage *ss, struct bb_error *err);

#endif
