/*
 * Stand-in of the configuration service, for tests: serves the pages in a
 * directory with the protocol of source.h, and the list of hosts in the file
 * hosts.json there with that of host_list.h. Files are read anew for each
 * answer, so that a change of them is served at once.
 */
#ifndef LIBSTANDIN_CONFIG_SERVICE_H
#define LIBSTANDIN_CONFIG_SERVICE_H

#include <netinet/in.h>
#include <stdint.h>

#include "baobabward/error.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * enum bb_config_service_fault - fault that is injected into answers.
 * @BB_CONFIG_SERVICE_NO_FAULT: none
 * @BB_CONFIG_SERVICE_GARBAGE: each answer has status 200 and a body that is not
 *                             a page
 * @BB_CONFIG_SERVICE_BAD_SIGNATURE: one bit of the signature is inverted in
 *                                   each page but the index
 */
enum bb_config_service_fault {
	BB_CONFIG_SERVICE_NO_FAULT,
	BB_CONFIG_SERVICE_GARBAGE,
	BB_CONFIG_SERVICE_BAD_SIGNATURE,
};

/**
 * struct bb_config_service_options - behaviour of the stand-in.
 * @directory: directory with one file per page, and hosts.json with the list of
 *             hosts
 * @stale_directory: directory of an out-of-date replica, which answers every
 *                   second request, or NULL
 * @address: address to listen on, 127.0.0.1 if zero
 * @port: TCP port, 0 for a free port
 * @delay_ms: delay of every answer
 * @watch_ms: longest time for which a watch is held
 * @fail_every: every Nth request fails with status 503, 0 for none
 * @fault: fault that is injected into answers
 */
struct bb_config_service_options {
	const char *directory;
	const char *stale_directory;
	struct in_addr address;
	uint16_t port;
	uint32_t delay_ms;
	uint32_t watch_ms;
	uint32_t fail_every;
	enum bb_config_service_fault fault;
};

struct bb_config_service;

/* Starts to serve; the strings of the options must outlive the service. */
struct bb_config_service *
bb_config_service_new(const struct bb_config_service_options *options,
		      struct bb_error *err);
/* TCP port on which the service listens. */
uint16_t bb_config_service_port(const struct bb_config_service *s);
/* Number of reads of pages, without watches. */
uint64_t bb_config_service_page_reads(const struct bb_config_service *s);
/* Number of reads of the list of hosts. */
uint64_t bb_config_service_host_reads(const struct bb_config_service *s);
/* Sets fail_every of the options while the service runs. */
void bb_config_service_set_fail_every(struct bb_config_service *s, uint32_t n);
/* Ends pending watches and stops the service; s may be NULL. */
void bb_config_service_delete(struct bb_config_service *s);

#ifdef __cplusplus
}
#endif
#endif
