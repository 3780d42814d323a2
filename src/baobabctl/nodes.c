#include "nodes.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <string.h>

#include "baobabward/clock.h"

/* Size limit of a document; the largest has a row for each neighbour. */
#define DOCUMENT_MAX_BYTES (4u * 1024 * 1024)
#define CONNECTIONS_MAX 64L
#define DEFAULT_TIMEOUT_MS 2000
#define POLL_TIMEOUT_MS 1000

gchar **node_flags;
gint node_timeout_ms = DEFAULT_TIMEOUT_MS;
const GOptionEntry node_entries[] = {
	{ "node", 'n', 0, G_OPTION_ARG_STRING_ARRAY, &node_flags,
	  "Operator listener of a node; may be given more than once",
	  "IP:PORT" },
	{ "timeout-ms", 't', 0, G_OPTION_ARG_INT, &node_timeout_ms,
	  "Longest time for each node, by default 2000", "MS" },
	{ 0 }
};

/* Request to one node. */
struct query {
	CURL *easy;
	char *url;
	GByteArray *body;
};

/* An IPv4 address, or an IPv6 address in brackets. */
static bool is_address(const char *text, size_t size)
{
	unsigned char buffer[sizeof(struct in6_addr)];
	char *s;
	bool ok;

	if (size > 2 && text[0] == '[' && text[size - 1] == ']') {
		s = g_strndup(text + 1, size - 2);
		ok = inet_pton(AF_INET6, s, buffer) == 1;
	} else {
		s = g_strndup(text, size);
		ok = inet_pton(AF_INET, s, buffer) == 1;
	}
	g_free(s);
	return ok;
}

static bool is_node_address(const char *text)
{
	const char *colon = strrchr(text, ':');

	return colon && is_address(text, (size_t)(colon - text)) &&
	       g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, NULL, NULL);
}

static void clear_answer(void *data)
{
	struct node_answer *a = data;

	g_free(a->node);
	g_free(a->error);
	json_decref(a->document);
}

static int add_node(GArray *answers, const char *text, struct bb_error *err)
{
	struct node_answer a = { .node = g_strdup(text) };

	g_array_append_val(answers, a);
	if (is_node_address(text))
		return 0;
	return bb_error_set(err, BB_ERROR_INVALID, "node \"%s\" is not IP:PORT",
			    text);
}

static int list_nodes(GArray *answers, struct bb_error *err)
{
	const char *variable = g_getenv("BAOBABWARD_NODES");
	gchar **words = node_flags;
	int rc = 0;

	if (!words)
		words = g_strsplit_set(variable ? variable : "", ", \t\n", -1);
	for (gchar **w = words; *w && !rc; w++)
		if (**w || words == node_flags)
			rc = add_node(answers, *w, err);
	if (words != node_flags)
		g_strfreev(words);
	if (!rc && !answers->len)
		rc = bb_error_set(err, BB_ERROR_INVALID,
				  "no node: give --node or BAOBABWARD_NODES");
	if (!rc && node_timeout_ms < 1)
		rc = bb_error_set(err, BB_ERROR_INVALID,
				  "--timeout-ms must be at least 1");
	return rc;
}

static size_t on_body(const void *data, size_t size, size_t nr, void *user)
{
	GByteArray *body = user;

	if (body->len + size * nr > DOCUMENT_MAX_BYTES)
		return 0;
	g_byte_array_append(body, data, (guint)(size * nr));
	return size * nr;
}

static void start_query(CURLM *multi, struct query *q, const char *node,
			const char *path)
{
	q->easy = curl_easy_init();
	q->url = g_strdup_printf("http://%s%s", node, path);
	q->body = g_byte_array_new();
	curl_easy_setopt(q->easy, CURLOPT_URL, q->url);
	curl_easy_setopt(q->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(q->easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(q->easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(q->easy, CURLOPT_TIMEOUT_MS, (long)node_timeout_ms);
	curl_easy_setopt(q->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(q->easy, CURLOPT_WRITEDATA, q->body);
	curl_multi_add_handle(multi, q->easy);
}

static void finish_query(struct query *q, struct node_answer *a, CURLcode code)
{
	a->finished_us = bb_clock_now_us();
	if (code != CURLE_OK) {
		a->error = g_strdup(curl_easy_strerror(code));
		return;
	}
	curl_easy_getinfo(q->easy, CURLINFO_RESPONSE_CODE, &a->status);
	if (a->status != 200) {
		a->error = g_strdup_printf("status %ld", a->status);
		return;
	}
	a->document =
		json_loadb((const char *)q->body->data, q->body->len, 0, NULL);
	if (json_is_object(a->document))
		return;
	json_decref(a->document);
	a->document = NULL;
	a->error = g_strdup("answer is not a JSON object");
}

static void finish_queries(CURLM *multi, struct query *queries, GArray *answers)
{
	CURLMsg *m;
	int left;

	while ((m = curl_multi_info_read(multi, &left)))
		for (guint i = 0; i < answers->len; i++)
			if (m->msg == CURLMSG_DONE &&
			    queries[i].easy == m->easy_handle)
				finish_query(&queries[i],
					     &g_array_index(answers,
							    struct node_answer,
							    i),
					     m->data.result);
}

static void fetch_all(GArray *answers, const char *path)
{
	struct query *queries = g_new0(struct query, answers->len);
	CURLM *multi = curl_multi_init();
	int running = 0;

	curl_multi_setopt(multi, CURLMOPT_MAX_TOTAL_CONNECTIONS,
			  CONNECTIONS_MAX);
	for (guint i = 0; i < answers->len; i++)
		start_query(multi, &queries[i],
			    g_array_index(answers, struct node_answer, i).node,
			    path);
	do {
		if (curl_multi_perform(multi, &running) != CURLM_OK)
			break;
		finish_queries(multi, queries, answers);
		if (running)
			curl_multi_poll(multi, NULL, 0, POLL_TIMEOUT_MS, NULL);
	} while (running);
	for (guint i = 0; i < answers->len; i++) {
		struct node_answer *a =
			&g_array_index(answers, struct node_answer, i);

		if (!a->document && !a->error)
			a->error = g_strdup("not asked");
		curl_multi_remove_handle(multi, queries[i].easy);
		curl_easy_cleanup(queries[i].easy);
		g_free(queries[i].url);
		g_byte_array_unref(queries[i].body);
	}
	curl_multi_cleanup(multi);
	g_free(queries);
}

GArray *nodes_fetch(const char *path, struct bb_error *err)
{
	GArray *answers = g_array_new(FALSE, FALSE, sizeof(struct node_answer));

	g_array_set_clear_func(answers, clear_answer);
	if (list_nodes(answers, err)) {
		g_array_unref(answers);
		return NULL;
	}
	fetch_all(answers, path);
	return answers;
}
