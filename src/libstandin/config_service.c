#include "libstandin/config_service.h"

#include <ck_pr.h>
#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <string.h>

#include "baobabward/publish.h"

/* Interval at which a watch compares the version of the index. */
#define WATCH_POLL_INTERVAL_US 20000

/**
 * struct bb_config_service - running stand-in.
 * @options: options at the start
 * @daemon: HTTP server, one thread per connection
 * @stopping: not 0 once pending watches are to end
 * @fail_every: every Nth request fails with status 503, 0 for none
 * @requests: number of all requests
 * @page_reads: number of reads of pages, without watches
 * @host_reads: number of reads of the list of hosts
 */
struct bb_config_service {
	struct bb_config_service_options options;
	struct MHD_Daemon *daemon;
	uint32_t stopping;
	uint32_t fail_every;
	uint64_t requests;
	uint64_t page_reads;
	uint64_t host_reads;
};

static enum MHD_Result answer(struct MHD_Connection *connection,
			      unsigned int status, char *data, size_t size)
{
	struct MHD_Response *r = MHD_create_response_from_buffer(
		size, data, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result rc = MHD_queue_response(connection, status, r);

	MHD_destroy_response(r);
	g_free(data);
	return rc;
}

static enum MHD_Result answer_page(const struct bb_config_service *s,
				   struct MHD_Connection *connection,
				   const char *directory, const char *name)
{
	struct bb_page *page;
	size_t size;
	char *data;

	if (strspn(name, "abcdefghijklmnopqrstuvwxyz0123456789-") !=
	    strlen(name))
		return answer(connection, MHD_HTTP_NOT_FOUND, NULL, 0);
	page = bb_page_read(directory, name, NULL);
	if (!page)
		return answer(connection, MHD_HTTP_NOT_FOUND, NULL, 0);
	if (s->options.fault == BB_CONFIG_SERVICE_BAD_SIGNATURE &&
	    strcmp(name, BB_PAGE_INDEX) != 0)
		page->signature[0] ^= 1;
	data = bb_page_encode(page, &size);
	bb_page_delete(page);
	return answer(connection, MHD_HTTP_OK, data, size);
}

static uint64_t index_version(const char *directory)
{
	struct bb_page *page = bb_page_read(directory, BB_PAGE_INDEX, NULL);
	struct bb_index *index = page ? bb_index_parse(page, NULL) : NULL;
	uint64_t version = index ? index->version : 0;

	bb_index_delete(index);
	bb_page_delete(page);
	return version;
}

static uint64_t number_argument(struct MHD_Connection *connection,
				const char *name)
{
	const char *text = MHD_lookup_connection_value(
		connection, MHD_GET_ARGUMENT_KIND, name);

	return text ? g_ascii_strtoull(text, NULL, 10) : 0;
}

static enum MHD_Result answer_watch(struct bb_config_service *s,
				    struct MHD_Connection *connection,
				    const char *directory)
{
	uint64_t version = number_argument(connection, "version");
	uint64_t wait_ms = number_argument(connection, "wait_ms");
	int64_t polls;

	if (!wait_ms || wait_ms > s->options.watch_ms)
		wait_ms = s->options.watch_ms;
	polls = (int64_t)wait_ms * 1000 / WATCH_POLL_INTERVAL_US;

	for (; polls > 0 && !ck_pr_load_32(&s->stopping); polls--) {
		if (index_version(directory) != version)
			return answer_page(s, connection, directory,
					   BB_PAGE_INDEX);
		g_usleep(WATCH_POLL_INTERVAL_US);
	}
	return answer(connection, MHD_HTTP_NO_CONTENT, NULL, 0);
}

/* Answers with the list of hosts if it is newer than the parameter after. */
static enum MHD_Result answer_hosts(struct MHD_Connection *connection,
				    const char *directory)
{
	char *path = g_build_filename(directory, "hosts.json", NULL);
	json_t *list = json_load_file(path, 0, NULL);
	uint64_t sequence =
		(uint64_t)json_integer_value(json_object_get(list, "sequence"));
	char *text = NULL;
	gsize size = 0;

	if (!list)
		sequence = UINT64_MAX;
	else if (sequence > number_argument(connection, "after"))
		g_file_get_contents(path, &text, &size, NULL);
	json_decref(list);
	g_free(path);
	if (sequence == UINT64_MAX)
		return answer(connection, MHD_HTTP_NOT_FOUND, NULL, 0);
	return answer(connection, text ? MHD_HTTP_OK : MHD_HTTP_NO_CONTENT,
		      text, size);
}

static enum MHD_Result on_request(void *context,
				  struct MHD_Connection *connection,
				  const char *url, const char *method,
				  const char *version, const char *upload,
				  size_t *upload_size, void **state)
{
	struct bb_config_service *s = context;
	uint64_t n = ck_pr_faa_64(&s->requests, 1) + 1;
	uint32_t fail_every = ck_pr_load_32(&s->fail_every);
	const char *directory = s->options.directory;

	(void)version;
	(void)upload;
	*upload_size = 0;
	(void)state;
	if (strcmp(method, MHD_HTTP_METHOD_GET) != 0)
		return answer(connection, MHD_HTTP_METHOD_NOT_ALLOWED, NULL, 0);
	g_usleep(s->options.delay_ms * 1000UL);
	if (fail_every && n % fail_every == 0)
		return answer(connection, MHD_HTTP_SERVICE_UNAVAILABLE, NULL,
			      0);
	if (s->options.fault == BB_CONFIG_SERVICE_GARBAGE)
		return answer(connection, MHD_HTTP_OK, g_strdup("<garbage>"),
			      strlen("<garbage>"));
	if (s->options.stale_directory && n % 2 == 0)
		directory = s->options.stale_directory;
	if (!strcmp(url, "/v1/watch"))
		return answer_watch(s, connection, directory);
	if (!strcmp(url, "/v1/hosts")) {
		ck_pr_inc_64(&s->host_reads);
		return answer_hosts(connection, directory);
	}
	if (!g_str_has_prefix(url, "/v1/pages/"))
		return answer(connection, MHD_HTTP_NOT_FOUND, NULL, 0);
	ck_pr_inc_64(&s->page_reads);
	return answer_page(s, connection, directory,
			   url + strlen("/v1/pages/"));
}

struct bb_config_service *
bb_config_service_new(const struct bb_config_service_options *options,
		      struct bb_error *err)
{
	struct bb_config_service *s = g_new0(struct bb_config_service, 1);
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = g_htons(options->port),
		.sin_addr = options->address,
	};

	if (!address.sin_addr.s_addr)
		address.sin_addr.s_addr = g_htonl(INADDR_LOOPBACK);
	s->options = *options;
	s->fail_every = options->fail_every;
	s->daemon = MHD_start_daemon(
		MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
		options->port, NULL, NULL, on_request, s, MHD_OPTION_SOCK_ADDR,
		(struct sockaddr *)&address, MHD_OPTION_END);
	if (s->daemon)
		return s;
	bb_error_set(err, BB_ERROR_IO, "cannot listen on port %u",
		     options->port);
	g_free(s);
	return NULL;
}

uint16_t bb_config_service_port(const struct bb_config_service *s)
{
	return MHD_get_daemon_info(s->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

uint64_t bb_config_service_page_reads(const struct bb_config_service *s)
{
	return ck_pr_load_64(&s->page_reads);
}

uint64_t bb_config_service_host_reads(const struct bb_config_service *s)
{
	return ck_pr_load_64(&s->host_reads);
}

void bb_config_service_set_fail_every(struct bb_config_service *s, uint32_t n)
{
	ck_pr_store_32(&s->fail_every, n);
}

void bb_config_service_delete(struct bb_config_service *s)
{
	if (!s)
		return;
	ck_pr_store_32(&s->stopping, 1);
	MHD_stop_daemon(s->daemon);
	g_free(s);
}
