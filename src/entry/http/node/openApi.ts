const jsonResponse = (description: string) => ({
  description,
  content: { 'application/json': {} },
});

const problemResponse = {
  description: 'Problem details of RFC 9457 with a `run` member: not-run, ran or unknown',
  content: { 'application/problem+json': {} },
};

const security = [{ administrationKey: [] }];

function readOperation(summary: string, parameters: readonly unknown[] = []) {
  return {
    get: {
      summary,
      security,
      parameters,
      responses: { 200: jsonResponse(summary), 401: problemResponse },
    },
  };
}

function parameter(name: string, location: 'path' | 'query', description: string) {
  return {
    name,
    in: location,
    required: location === 'path',
    description,
    schema: { type: 'string' },
  };
}

/** OpenAPI document of the administration API. */
export const openApiDocument = {
  openapi: '3.1.0',
  info: { title: 'ibisspar administration', version: '1' },
  components: { securitySchemes: { administrationKey: { type: 'http', scheme: 'bearer' } } },
  paths: {
    '/admin/v1/status': readOperation('State of this entry'),
    '/admin/v1/endpoints': readOperation('Endpoints as this entry knows them'),
    '/admin/v1/explain/{request}': readOperation('Decisions about a request', [
      parameter('request', 'path', 'Value of the x-request-id header of the answer'),
    ]),
    '/admin/v1/costs': readOperation('Cost record by organisation and revision', [
      parameter('from', 'query', 'Begin of the period, as a date'),
      parameter('to', 'query', 'End of the period, as a date'),
    ]),
    '/admin/v1/rules/why/{organisation}': readOperation('Rules that decide for an organisation', [
      parameter('organisation', 'path', 'Name of the organisation'),
      parameter('model', 'query', 'Name of the model'),
      parameter('place', 'query', 'Name of the place'),
    ]),
    '/admin/v1/rules': {
      ...readOperation('Rules in force, their history and the lowest revision of all entries'),
      put: {
        summary: 'Changes the rules if they are still at the given revision',
        security,
        requestBody: {
          required: true,
          content: {
            'application/json': {
              schema: {
                type: 'object',
                required: ['id', 'baseRevision', 'text', 'by'],
                properties: {
                  id: { type: 'string', description: 'Unique id; sent again, it applies once' },
                  baseRevision: { type: 'integer' },
                  text: { type: 'string' },
                  by: { type: 'string' },
                },
              },
            },
          },
        },
        responses: {
          200: jsonResponse('The new revision'),
          409: problemResponse,
          422: problemResponse,
          503: problemResponse,
        },
      },
    },
  },
};
